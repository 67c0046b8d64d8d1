package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

// TestFirstReportAfterEarlierReadingCountsWholeLease guards against a task that starts again
// while its run goes on under a lease of an earlier owner, as that lease is counted from
// an older reading of the worker's clock than the one in the worker's first report.
func TestFirstReportAfterEarlierReadingCountsWholeLease(t *testing.T) {
	const latency = 100 * time.Millisecond // of the report
	r := newRig(t, 2)
	r.submit(queueShort, "job", step(1, 4, longRunning))
	first := r.plan()[0]
	r.flush()
	id := first.Worker.ID
	r.takeOver(worker(0), worker(1))
	r.members(2)
	r.report(otherWorker(id), nil, nil)

	_, renewal, _ := r.state.Renewal(r.now, id, testLease)
	r.state.HandleReport(r.now, id, renewal, runner.Answer{Status: runner.Unhealthy, ClockMS: r.clock()}, runner.Report{})
	r.advance(3 * time.Second)
	lease := r.clock() + testLease.Milliseconds() // the earlier owner renews it now
	r.advance(time.Millisecond)
	_, renewal, _ = r.state.Renewal(r.now, id, testLease)
	read := r.clock()
	r.advance(latency)
	r.state.HandleReport(r.now, id, renewal, runner.Answer{Status: runner.Done, ClockMS: read},
		runner.Report{ClockMS: read, Active: []runner.ActiveRun{active(first)}})
	r.waitForStart(id, func() {})
	if left := lease - r.clock(); left > 0 {
		t.Errorf("the task started again %d ms before the end of its run's lease", left)
	}
}
