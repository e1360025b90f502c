package relayhost

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/routes"
)

// testTable returns a watch whose configurations are their versions in JSON, and the versions that it
// has brought into force and decoded.
func testTable() (t *tableWatch, applied, decoded *[]int64) {
	applied, decoded = new([]int64), new([]int64)
	version := func(value []byte) (n int64, err error) {
		err = json.Unmarshal(value, &n)
		return n, err
	}
	t = &tableWatch{
		key: "config", log: logr.Discard(), applyTime: func() time.Duration { return 2 * time.Second },
		changed: func(table *routes.Table) { *applied = append(*applied, table.Version) },
		version: func(value []byte) int64 {
			n, _ := version(value) // zero if it can't be read
			return n
		},
		decode: func(value []byte) (*routes.Table, error) {
			n, err := version(value)
			*decoded = append(*decoded, n)
			return &routes.Table{Version: n}, err
		},
	}
	return t, applied, decoded
}

// configs returns records of the configuration, in order.
func configs(values ...string) []platform.KeyedRecord {
	var out []platform.KeyedRecord
	for i, v := range values {
		out = append(out, platform.KeyedRecord{Key: "config", Value: []byte(v), Offset: record.Offset(i)})
	}
	return out
}

func TestInvalidConfigurationLeavesTheNewestValidOneInForce(t *testing.T) {
	table, applied, _ := testTable()
	table.apply(configs("3"))
	table.apply(configs("not a configuration"))
	require.EqualValues(t, 3, table.current.Load().Version)
	table.apply(configs("4", "5", "{", `"6"`))
	require.Equal(t, []int64{3, 5}, *applied)
}

func TestOnlyTheHighestOfSeveralVersionsIsDecoded(t *testing.T) {
	table, applied, decoded := testTable()
	table.apply(configs("3", "7", "4", "6"))
	table.apply(configs("5"))
	table.apply(append(configs("9"), platform.KeyedRecord{Key: "evacuate/z1", Value: []byte("{}")}, platform.KeyedRecord{Key: "config"}))
	require.Equal(t, []int64{7, 9}, *applied)
	require.Equal(t, []int64{7, 5, 9}, *decoded)
}
