package shard

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

type singleHostView struct{ self record.Holder }

func (l singleHostView) Self() record.Holder { return l.self }
func (l singleHostView) Hosts() []member.Host {
	return []member.Host{{Host: platform.Host{ID: l.self.Host}, ObservedState: member.StateLive}}
}
func (l singleHostView) Client(record.HostID) (peerpbconnect.PeerServiceClient, bool) {
	return nil, false
}

// BenchmarkOwner measures an owner that appends reports of 20 settlements each, from many
// holders at once, and reads them back. The time is per report.
func BenchmarkOwner(b *testing.B) {
	for _, holders := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			log := memlog.New(memlog.Options{})
			self := record.Holder{Host: "a", Incarnation: 1}
			s := NewService(Options{Self: self, Log: log, View: singleHostView{self: self}, Shards: func() uint32 { return 1 }, ReportDelay: time.Nanosecond})
			defer s.Stop()
			_, err := s.Submit(b.Context(), 0, []record.Op{topUp(1, 1<<40)})
			require.NoError(b, err)
			before := log.Appends()
			cpu := cpuTime(b)
			b.ReportAllocs()
			b.ResetTimer()
			reports := 0
			for round := uint64(1); reports < b.N; round++ {
				reportOnce(b, s, holders, round)
				reports += holders
			}
			b.ReportMetric(float64(reports)/float64(log.Appends()-before), "reports/append")
			b.ReportMetric(float64((cpuTime(b)-cpu).Nanoseconds())/float64(reports), "cpu-ns/report")
		})
	}
}

// cpuTime returns the processor time that the process has used. Unlike elapsed time, it
// does not depend on other load of the machine.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// reportOnce submits the next report of every holder and waits for all results.
func reportOnce(b *testing.B, s *Service, holders int, round uint64) {
	done := make(chan error, holders)
	for i := range holders {
		go func() {
			holder := record.Holder{Host: record.HostID(fmt.Sprintf("h%d", i)), Incarnation: 1}
			report := &record.Report{Seq: round}
			for k := range 20 {
				key := record.RequestKey(round<<32 | uint64(i)<<8 | uint64(k))
				report.Settlements = append(report.Settlements, record.Settlement{Budget: "m", Key: key})
			}
			_, err := s.Submit(context.Background(), 0, []record.Op{{Kind: record.KindReport, Holder: &holder, Report: report}})
			done <- err
		}()
	}
	for range holders {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReconcile measures the selection of the owners of 128 shards, which a host does
// once per reconcileInterval, for several fleet sizes.
func BenchmarkReconcile(b *testing.B) {
	for _, hosts := range []int{8, 62, 620} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			s := &Service{opts: Options{Self: record.Holder{Host: "none"}, View: newStaticView(hosts), Shards: func() uint32 { return 128 }}.withDefaults()}
			s.difference = metrics.NewGauge()
			for b.Loop() {
				s.reconcile(time.Now())
			}
		})
	}
}

type staticView []member.Host

func newStaticView(count int) staticView {
	hosts := make(staticView, count)
	for i := range hosts {
		hosts[i] = member.Host{Host: platform.Host{ID: record.HostID(fmt.Sprintf("h%d", i))}, ObservedState: member.StateLive}
	}
	return hosts
}

func (m staticView) Self() record.Holder                                          { return record.Holder{} }
func (m staticView) Hosts() []member.Host                                         { return m }
func (m staticView) Client(record.HostID) (peerpbconnect.PeerServiceClient, bool) { return nil, false }
