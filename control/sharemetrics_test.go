package control

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/fireflygate/fireflygate/dispatch"
)

// TestShareMetrics guards against gauges that stay when a queue is gone or the owner has
// ended, and against counters that count again what an earlier owner reclaimed.
func TestShareMetrics(t *testing.T) {
	m := NewMetrics(prometheus.NewRegistry())
	share := dispatch.QueueShare{Queue: "a", Entitled: 4000, Used: 1500, Claim: 2500}
	summary := func(reclaimed, milliCPU uint64, queues ...dispatch.QueueShare) *dispatch.Summary {
		return &dispatch.Summary{Shares: queues, Stats: dispatch.Stats{Reclaimed: reclaimed, ReclaimedMilliCPU: milliCPU}}
	}
	m.setState(summary(2, 7000, share, dispatch.QueueShare{Queue: "b", Used: 9000, Lent: 9000}))
	m.setState(summary(3, 9000, share))
	if n := testutil.CollectAndCount(m.shares.processors); n != 4 {
		t.Errorf("%d gauges, want those of one queue", n)
	}
	if v := testutil.ToFloat64(m.shares.processors.WithLabelValues("a", "claim")); v != 2.5 {
		t.Errorf("claim %v, want 2.5 processors", v)
	}
	m.recordOwnership(false)
	m.setState(summary(1, 1000))
	if runs, processors := testutil.ToFloat64(m.shares.reclaimedRuns), testutil.ToFloat64(m.shares.reclaimed); runs != 4 || processors != 10 {
		t.Errorf("%v runs of %v processors reclaimed, want 4 of 10", runs, processors)
	}
	if n := testutil.CollectAndCount(m.shares.processors); n != 0 {
		t.Errorf("%d gauges, want none", n)
	}
}
