package statechart

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validChart = `{
	// A request.
	"initial": "queued",
	"final": ["done", "refused"],
	"states": {
		"queued":  {"on": {"start": "running", "refuse": "refused", "wait": "queued"}},
		"running": {"on": {"finish": "done"}},
		"done": {},
		"refused": {},
	},
}`

func TestMachineFollowsTheChart(t *testing.T) {
	chart, err := Load("request", []byte(validChart))
	require.NoError(t, err)
	require.Equal(t, []State{"queued", "running", "done", "refused"}, chart.States())
	m := chart.Start()
	require.NoError(t, m.Fire("wait"), "a transition to the same state is accepted")
	require.NoError(t, m.Fire("start"))
	require.Equal(t, State("running"), m.State())
	var refused *EventError
	require.ErrorAs(t, m.Fire("refuse"), &refused)
	require.Equal(t, EventError{Chart: "request", State: "running", Event: "refuse"}, *refused)
	require.Error(t, m.Fire("no such event"))
	require.Equal(t, State("running"), m.State())
	require.False(t, m.Done())
	require.True(t, m.Can("finish"))
	require.NoError(t, m.Fire("finish"))
	require.True(t, m.Done())
	require.Equal(t, State("queued"), chart.Start().State(), "machines are independent")
}

func TestLoadReportsAllFindingsWithPlaces(t *testing.T) {
	tests := []struct {
		name, chart string
		want        []string
	}{
		{"unknown states", "{\"initial\": \"a\",\n\"final\": [\"z\", \"b\"],\n\"states\": {\"a\": {\"on\": {\"x\": \"c\",\n \"y\": \"b\"}}, \"b\": {}}}",
			[]string{`c:2:11: final state "z" is not declared`, `c:3:30: target state "c" is not declared`}},
		{"unreachable and endless", "{\"initial\": \"a\", \"final\": [\"b\"], \"states\": {\n\"a\": {\"on\": {\"x\": \"b\", \"y\": \"loop\"}},\n\"b\": {},\n\"loop\": {\"on\": {\"x\": \"loop\"}},\n\"island\": {\"on\": {\"x\": \"b\"}}}}",
			[]string{`c:4:1: state "loop" has no way to a final state`, `c:5:1: state "island" cannot be reached`}},
		{"shape", "{\"inital\": \"a\",\n\"final\": \"b\",\n\"states\": {\"a\": {\"on\": {\"x\": 1, \"x\": \"a\"}}, \"a\": []}}",
			[]string{`c:1:2: unknown field "inital"`, `c:2:10: final must be a list of states`, `c:3:30: a target state must be a string`,
				`c:3:33: event "x" stands twice`, `c:3:45: state "a" stands twice`, `c:3:50: a state must be an object`}},
		{"nothing", "{}", []string{`c:1:1: the chart has no states`}},
		{"no end", `{"initial": "a", "states": {"a": {}}}`, []string{`c:1:1: the chart has no final state`, `c:1:29: state "a" has no way to a final state`}},
		{"left end", `{"initial": "a", "final": ["a"], "states": {"a": {"on": {"x": "a"}}}}`, []string{`c:1:45: final state "a" has transitions`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Load("c", []byte(test.chart))
			require.Error(t, err)
			require.Equal(t, strings.Join(test.want, "\n"), err.Error())
		})
	}
	_, err := Load("c", []byte("{"))
	require.ErrorContains(t, err, "statechart c")
	require.Panics(t, func() { MustLoad("c", []byte("{}")) })
}
