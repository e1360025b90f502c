package dispatch

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLoadFromHeader(t *testing.T) {
	full := LoadReport{Running: 3, Waiting: 1, Slots: 8, KVUsed: 0.42}
	cases := []struct {
		name   string
		header string
		want   *LoadReport
	}{
		{"missing", "", nil},
		{"round trip", full.String(), &full},
		{"unknown field", "running=2, colour=red", &LoadReport{Running: 2}},
		{"negative", "running=-2", nil},
		{"share above one", "kv=1.5", nil},
		{"not a number", "kv=NaN", nil},
		{"no value", "running", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := http.Header{}
			if c.header != "" {
				h.Set(HeaderLoad, c.header)
			}
			require.Equal(t, c.want, LoadFromHeader(h))
		})
	}
}
