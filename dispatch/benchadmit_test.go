package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/admission"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// queueEndless is a queue of whose jobs none expires during a benchmark.
var queueEndless = workload.Queue{Name: "endless", Pool: pool, Priority: 2, MaxAttempts: 2, Target: 10_000 * time.Hour}

var endlessQueues = []workload.Queue{queueShort, queueEndless}

// BenchmarkAdmit refuses jobs while 490 workers are full and 300 jobs wait. The queues are
// set with every hundredth, which counts the work ahead anew. It must take under 5 µs.
func BenchmarkAdmit(b *testing.B) {
	r := fullRig(b)
	spec := &workload.Job{ID: "new", Steps: []workload.Step{step(20, 7)}, Submitted: 1}
	later := 4 * queueEndless.Target.Milliseconds() // the job has expired
	b.ReportAllocs()
	i, refused := 0, 0
	for b.Loop() {
		if i++; i%100 == 0 {
			r.state.SetQueues(endlessQueues)
		}
		if r.state.Admit(r.now, later, spec, queueEndless).Verdict == admission.Refuse {
			refused++
		}
	}
	if refused != i {
		b.Errorf("%d of %d refused", refused, i)
	}
}

// BenchmarkObserveCapacity observes the same pool after each planning cycle.
func BenchmarkObserveCapacity(b *testing.B) {
	r := fullRig(b)
	b.ReportAllocs()
	for b.Loop() {
		r.advance(4 * time.Millisecond)
		r.state.ObserveCapacity(r.now)
	}
}

// fullRig returns 490 full workers with 300 jobs waiting, of which some tasks have ended.
func fullRig(b *testing.B) *rig {
	b.Helper()
	r := newRig(&testing.T{}, 490)
	r.state.SetQueues(endlessQueues)
	for i := range 300 {
		r.submit(queueEndless, fmt.Sprintf("batch%d", i), step(20, 7))
	}
	starts := r.plan()
	for i := range 30 {
		o := starts[i]
		r.report(o.Worker.ID, nil, []runner.RunEnd{end(1, o, runner.EndDone)})
		r.cycles(testTick)
	}
	return r
}
