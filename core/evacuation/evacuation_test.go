package evacuation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

var start = time.Unix(1000, 0)

func emptiedAt(domain string, offset int) Record {
	return Record{Domain: domain, Emptied: true, Offset: record.Offset(offset)}
}

func TestRecordsDecideInOrder(t *testing.T) {
	var d Domains
	require.Len(t, d.Snapshot([]Record{emptiedAt("a", 1), emptiedAt("b", 2)}, false, start), 2)
	require.Empty(t, d.Apply([]Record{emptiedAt("a", 3)}, start), "written again")
	require.Len(t, d.Apply([]Record{{Domain: "a", Offset: 4}, {Domain: "c", Offset: 5}}, start), 1)
	require.Equal(t, []string{"b"}, d.Emptied())
	require.Equal(t, ReasonMissing, d.Snapshot(nil, false, start)[0].Reason, "taken back in the trimmed history")
	require.Empty(t, d.Emptied())
}

// A log that lost the operator's records says nothing about a domain, for a time.
func TestEmptiedDomainOutlastsItsRecord(t *testing.T) {
	for name, lose := range map[string]func(d *Domains){
		"older copy":   func(d *Domains) { d.Rewound(nil, start) },
		"lost history": func(d *Domains) { d.Snapshot(nil, true, start) },
	} {
		t.Run(name, func(t *testing.T) {
			var d Domains
			d.Apply([]Record{emptiedAt("a", 1), emptiedAt("b", 2)}, start)
			lose(&d)
			lose(&d)
			require.Equal(t, []string{"a", "b"}, d.Emptied())
			changes, next := d.Expire(start.Add(keepTime - 1))
			require.Empty(t, changes)
			require.Equal(t, time.Duration(1), next)
			d.Apply([]Record{emptiedAt("b", 1)}, start)
			changes, next = d.Expire(start.Add(keepTime))
			require.Equal(t, []Change{{Record: Record{Domain: "a", Offset: 1}, Reason: ReasonLost}}, changes)
			require.Zero(t, next)
			require.Equal(t, []string{"b"}, d.Emptied(), "written again")
		})
	}
}

// A copy of the log may still have a record that was taken back since. Another record of the same
// domain counts.
func TestOlderCopyDoesNotEmptyADomainAgain(t *testing.T) {
	var d Domains
	d.Apply([]Record{emptiedAt("a", 1), {Domain: "a", Offset: 2}}, start)
	require.Empty(t, d.Rewound([]Record{emptiedAt("a", 1)}, start))
	require.Empty(t, d.Emptied())
	require.Len(t, d.Rewound([]Record{emptiedAt("a", 3)}, start), 1)
	d.Apply([]Record{{Domain: "a", Offset: 4}}, start)
	require.Len(t, d.Rewound([]Record{emptiedAt("a", 3)}, start.Add(takenBackTTL)), 1)
}
