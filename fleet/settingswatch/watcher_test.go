package settingswatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

func TestConcurrentChangesOfOnePathConflict(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{Latency: 5 * time.Millisecond}, 3)
		base := c.seed()
		results := make(chan error, 3)
		for i, path := range []string{"firms/a/accounts/x/weight", "firms/a/accounts/x", "firms/a/accounts/y/weight"} {
			value := []string{"2", `{"budget":"b","weight":3}`, "4"}[i]
			go func() {
				time.Sleep(time.Duration(i) * time.Microsecond)
				_, err := c.node(i).watcher.Publish(t.Context(), change(fmt.Sprint("c", i), base, path, value))
				results <- err
			}()
		}
		conflicts := 0
		for range 3 {
			if err := <-results; isConflict(err) {
				conflicts++
				require.Equal(t, "tester", errConflict.By)
				require.NotZero(t, errConflict.Winner)
			} else {
				require.NoError(t, err)
			}
		}
		require.Equal(t, 1, conflicts)
		time.Sleep(time.Second)
		for _, n := range c.all() {
			require.EqualValues(t, 4, n.weight("a/y"))
			require.Equal(t, c.node(0).weight("a/x"), n.weight("a/x"))
		}
	})
}

func TestLostReplyIsAppliedOnce(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{Latency: 5 * time.Millisecond}, 2)
		base := c.seed()
		lost := 0
		c.node(0).link.SetLoseReply(func() bool { lost++; return lost == 1 })
		first := c.node(0).publish(change("c", base, "firms/a/accounts/x/weight", "2"))
		require.Equal(t, 1, lost, "the change is read back without a second append")
		c.node(1).publish(change("d", first, "firms/a/accounts/x/weight", "5"))
		require.Equal(t, first, c.node(1).publish(change("c", base, "firms/a/accounts/x/weight", "2")), "another host knows the decision on the repeated change")
		time.Sleep(time.Second)
		require.EqualValues(t, 5, c.node(0).weight("a/x"))
	})
}

func TestRepeatedAppendIsAppliedOnce(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{}, 2)
		base := c.seed()
		data, err := settings.EncodeChange(change("c", base, "firms/a/accounts/x/weight", "2"))
		require.NoError(t, err)
		_, err = c.log.Append(t.Context(), record.StreamSettings, data)
		require.NoError(t, err)
		c.node(0).publish(change("d", base+1, "firms/a/accounts/x/weight", "5"))
		_, err = c.log.Append(t.Context(), record.StreamSettings, data)
		require.NoError(t, err)
		time.Sleep(time.Second)
		require.EqualValues(t, 5, c.node(1).weight("a/x"))
	})
}

func TestPublishReportsFindingsAndOutage(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{}, 2)
		base := c.seed()
		var invalid *InvalidError
		_, err := c.node(0).watcher.Publish(t.Context(), change("c", base, "firms/a/accounts/x/budget", `"none"`))
		require.ErrorAs(t, err, &invalid)
		require.Equal(t, []string{`firms/a/accounts/x/budget: firm a has no budget "none"`}, invalid.Findings)
		_, err = c.node(0).watcher.Publish(t.Context(), &settings.Change{Kind: settings.KindEdit})
		require.ErrorContains(t, err, "needs an ID")

		c.log.SetDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err = c.node(0).watcher.Publish(ctx, change("e", base, "x-n", "1"))
		require.ErrorIs(t, err, platform.ErrUnavailable)
		require.NotErrorIs(t, err, ErrUnknownOutcome)
	})
}

func TestHostCutOffFromTheLogGetsChangesFromPeers(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{}, 4)
		base := c.seed()
		c.node(3).link.SetCut(true)
		for i := range 400 { // more entries than other hosts keep
			base = c.node(0).publish(change(fmt.Sprint(i), base, "firms/a/accounts/x/weight", fmt.Sprint(i+1)))
			if i%100 == 0 {
				time.Sleep(5 * time.Second)
				require.Equal(t, 4, c.inForce(base))
			}
		}
		time.Sleep(5 * time.Second)
		require.Equal(t, 4, c.inForce(base))
		require.EqualValues(t, 400, c.node(3).weight("a/x"))

		c.node(3).isolated.Store(true)
		c.node(0).publish(change("last", base, "firms/a/accounts/x/weight", "7"))
		time.Sleep(time.Hour)
		require.EqualValues(t, 400, c.node(3).weight("a/x"), "a host without log and peers keeps its settings")
		c.node(3).isolated.Store(false)
		time.Sleep(5 * time.Second)
		require.EqualValues(t, 7, c.node(3).weight("a/x"))
	})
}

func TestHostStartsInAnOutage(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{}, 3)
		c.seed()
		c.log.SetDown(true)
		time.Sleep(time.Minute)
		fresh := c.start("fresh")
		time.Sleep(5 * time.Second)
		require.NotNil(t, fresh.watcher.Current())
		require.EqualValues(t, 1, fresh.weight("a/x"))
		c.log.SetDown(false)
		time.Sleep(5 * time.Second)
		version := c.node(0).publish(change("c", 1, "x-n", "1"))
		time.Sleep(time.Second)
		require.Equal(t, 4, c.inForce(version))
	})
}

func TestRetentionExpiryAndLateSnapshot(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{Retention: 30 * time.Minute}, 3)
		base := c.seed()
		late := c.node(1).watcher.fold.Snapshot()
		base = c.node(0).publish(change("c", base, "firms/a/accounts/x/weight", "2"))
		time.Sleep(48 * time.Hour)
		bounds, err := c.log.Bounds(t.Context(), record.StreamSettings)
		require.NoError(t, err)
		require.Greater(t, bounds.First, base, "the changes are no longer kept")

		data, err := settings.EncodeSnapshot(late)
		require.NoError(t, err)
		_, err = c.log.Append(t.Context(), record.StreamSettingsSnapshots, data)
		require.NoError(t, err)
		fresh := c.start("fresh")
		time.Sleep(time.Second)
		require.EqualValues(t, 2, fresh.weight("a/x"))
		require.EqualValues(t, 2, c.node(1).weight("a/x"))
		require.Less(t, len(c.log.Records(record.StreamSettingsSnapshots)), 20, "usually only one host writes")
		version := c.node(2).publish(change("d", base, "firms/a/accounts/x/weight", "3"))
		time.Sleep(time.Second)
		require.Equal(t, 4, c.inForce(version))
	})
}

func TestOutageLongerThanRetention(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{Retention: 30 * time.Minute}, 3)
		base := c.seed()
		version := c.node(0).publish(change("c", base, "firms/a/accounts/x/weight", "2"))
		c.log.SetDown(true)
		time.Sleep(3 * time.Hour)
		c.log.SetDown(false)
		fresh := c.start("fresh")
		time.Sleep(2 * time.Minute)
		require.Equal(t, 4, c.inForce(version), "the hosts restore the settings from memory")
		require.EqualValues(t, 2, fresh.weight("a/x"))
	})
}

// TestRestartNeverReverts checks that a host that starts from a snapshot brings no
// settings into force before it has read the changes after the snapshot. It had them
// in force before its restart.
func TestRestartNeverReverts(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{}, 2)
		base := c.seed()
		time.Sleep(time.Minute) // a snapshot is appended
		require.NotEmpty(t, c.log.Records(record.StreamSettingsSnapshots))
		c.node(0).publish(change("c", base, "firms/a/accounts/x/weight", "2"))
		old := c.node(1)
		old.stop()

		again := &node{cluster: c, id: old.id, link: memlog.NewLink(&unreadable{Log: c.log, stream: record.StreamSettings})}
		again.isolated.Store(true)
		c.run(again)
		time.Sleep(time.Minute)
		require.Nil(t, again.watcher.Current(), "the snapshot alone is older than the settings before the restart")
		again.isolated.Store(false)
		time.Sleep(time.Minute)
		require.EqualValues(t, 2, again.weight("a/x"))
	})
}

// unreadable is a log whose reads of one stream fail.
type unreadable struct {
	platform.Log
	stream string
}

func (u *unreadable) Read(ctx context.Context, stream string, from record.Offset, limit int, wait time.Duration) ([]record.Entry, error) {
	if stream == u.stream {
		return nil, platform.ErrUnavailable
	}
	return u.Log.Read(ctx, stream, from, limit, wait)
}

func TestNewerTreeKeepsTheLastSettings(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{}, 2)
		base := c.seed()
		data, err := settings.EncodeChange(change("newer", base, "schema", "2"))
		require.NoError(t, err)
		_, err = c.log.Append(t.Context(), record.StreamSettings, data)
		require.NoError(t, err)
		time.Sleep(time.Minute)
		require.True(t, c.node(0).watcher.State().Unsupported)
		require.Equal(t, base, c.node(0).watcher.Version())
	})
}

func TestInFlightRequestsKeepTheirSettings(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{}, 1)
		base := c.seed()
		held := c.node(0).watcher.Current()
		c.node(0).publish(change("c", base, "firms/a/accounts/x", ""))
		_, ok := held.Account("a/x")
		require.True(t, ok)
		_, ok = c.node(0).watcher.Current().Account("a/x")
		require.False(t, ok)
	})
}

// TestRecoveryAfterTotalLoss checks the recovery from the operators' files after an
// outage longer than the log's retention in which all hosts restarted, so that no copy
// of the settings is left.
func TestRecoveryAfterTotalLoss(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{Retention: 30 * time.Minute}, 3)
		c.seed()
		declared, _ := c.node(0).watcher.Tree()
		_, err := c.node(0).watcher.Recover(t.Context(), declared)
		require.ErrorIs(t, err, ErrNotLost)
		c.log.SetDown(true)
		c.stopAll()
		time.Sleep(time.Hour)
		c.log.SetDown(false)
		for i := range 3 {
			c.start(record.HostID(fmt.Sprintf("h%03d", i)))
		}
		time.Sleep(time.Minute)
		for i := range 3 {
			require.Nil(t, c.node(i).watcher.Current(), "no copy of the settings is left")
		}
		version, err := c.node(1).watcher.Recover(t.Context(), declared)
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		require.Equal(t, 3, c.inForce(version))
		require.EqualValues(t, 1, c.node(2).weight("a/x"))
		_, err = c.node(0).watcher.Recover(t.Context(), declared)
		require.ErrorIs(t, err, ErrNotLost)
		_, err = c.node(0).watcher.Publish(t.Context(), change("old", 0, "firms/a/accounts/x/weight", "9"))
		require.True(t, isConflict(err), "changes based on lost versions conflict")
		next := c.node(0).publish(change("new", version, "firms/a/accounts/x/weight", "4"))
		time.Sleep(time.Second)
		require.Equal(t, 3, c.inForce(next))
	})
}

// TestUnusableAnswersSlowDownRequests guards against a host that cannot use the
// responses of others, such as one with an older program, and asks them every second
// without end.
func TestUnusableAnswersSlowDownRequests(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{}, 4)
		base := c.seed()
		n := c.node(3)
		n.link.SetCut(true)
		n.getsUnusable.Store(true)
		version := c.node(0).publish(change("c", base, "firms/a/accounts/x/weight", "2"))
		time.Sleep(time.Hour)
		require.Equal(t, base, n.watcher.Version())
		require.Less(t, n.requests.Load(), int64(3*80), "3,600 seconds, three hosts each")
		n.getsUnusable.Store(false)
		time.Sleep(maxPeerInterval + time.Second)
		require.Equal(t, version, n.watcher.Version())
	})
}
