package admission_test

import (
	"math"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/admission"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/workload"
)

// start is the time at which tests begin.
var start = time.Unix(1000, 0)

// batch is the best-effort queue of the load.
var batch = workload.Queue{Name: "batch", Pool: "pool", Priority: 2, Stretch: 1.5, Target: time.Second}

// batchJob is a job of 20 tasks of 2.2 s on 7 cores, submitted at the given time.
func batchJob(at time.Time) admission.Job {
	spec := &workload.Job{ID: "job", Submitted: at.UnixMilli(), Steps: []workload.Step{{
		Tasks: 20, Needs: infra.Resources{MilliCPU: 7000}, Estimate: 2200 * time.Millisecond,
	}}}
	return admission.NewJob(at, at.UnixMilli(), spec, &batch, func(st *workload.Step) time.Duration { return st.Estimate })
}

// TestDecide guards against refusals of jobs that would still be useful, and against
// accepting jobs that would not. The job's objective is 4.3 s, its expiry 12.9 s and its
// critical path 2.2 s, so it may wait 2.1 s to be on time and 10.7 s to be useful.
func TestDecide(t *testing.T) {
	const rate = 1_000_000
	for _, c := range []struct {
		name string
		load admission.Load
		age  time.Duration
		want admission.Decision
	}{
		{name: "nothing ahead", load: admission.Load{Rate: rate, Full: true}},
		{"on time", admission.Load{Ahead: 2 * rate, Rate: rate, Full: true}, 0, admission.Decision{Wait: 2 * time.Second}},
		{"late", admission.Load{Ahead: 10 * rate, Rate: rate, Full: true}, 0, admission.Decision{Verdict: admission.AcceptLate, Wait: 10 * time.Second}},
		{"expired", admission.Load{Ahead: 14 * rate, Rate: rate, Full: true}, 0, admission.Decision{Verdict: admission.Refuse, Wait: 14 * time.Second, RetryAfter: 3300 * time.Millisecond}},
		{"before late work", admission.Load{Ahead: 99 * rate, Late: 97 * rate, Rate: rate, Full: true}, 0, admission.Decision{Wait: 2 * time.Second}},
		{"soon useful", admission.Load{Ahead: 11 * rate, Rate: rate, Full: true}, 0, admission.Decision{Verdict: admission.Refuse, Wait: 11 * time.Second, RetryAfter: time.Second}},
		{"far too late", admission.Load{Ahead: 99 * rate, Rate: rate, Full: true}, 0, admission.Decision{Verdict: admission.Refuse, Wait: 99 * time.Second, RetryAfter: 8 * time.Second}},
		{"old job", admission.Load{Ahead: 10 * rate, Rate: rate, Full: true}, 2 * time.Second, admission.Decision{Verdict: admission.Refuse, Wait: 10 * time.Second, RetryAfter: time.Second}},
		{name: "pool not full", load: admission.Load{Ahead: 99 * rate, Rate: rate}},
		{name: "rate unknown", load: admission.Load{Ahead: 99 * rate, Full: true}},
		{name: "rate not a number", load: admission.Load{Ahead: 99 * rate, Rate: math.NaN(), Full: true}},
		{name: "rate infinite", load: admission.Load{Ahead: 99 * rate, Rate: math.Inf(1), Full: true}},
		{name: "rate negative", load: admission.Load{Ahead: 99 * rate, Rate: -1, Full: true}},
		{name: "work negative", load: admission.Load{Ahead: -1, Rate: rate, Full: true}},
		{"rate near zero", admission.Load{Ahead: math.MaxInt64, Rate: 1e-300, Full: true}, 0, admission.Decision{Verdict: admission.Refuse, Wait: 24 * time.Hour, RetryAfter: 8 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := admission.Decide(start.Add(c.age), c.load, batchJob(start)); got != c.want {
				t.Errorf("decision %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestSizeIsNotCompared guards against refusing large jobs sooner than small ones.
func TestSizeIsNotCompared(t *testing.T) {
	load := admission.Load{Ahead: 10_600_000, Rate: 1_000_000, Full: true}
	small, large := batchJob(start), batchJob(start)
	large.Work *= 1000
	if s, l := admission.Decide(start, load, small), admission.Decide(start, load, large); s != l {
		t.Errorf("decision %+v for a large job, %+v for a small one", l, s)
	}
}

// TestExempt guards against refusals of jobs that wait for their time or never end.
func TestExempt(t *testing.T) {
	steps := []workload.Step{{Tasks: 1}, {Tasks: 1, LongRunning: true}}
	noObjective := workload.Queue{}
	for name, c := range map[string]struct {
		job   workload.Job
		queue *workload.Queue
		want  bool
	}{
		"finite":       {workload.Job{Steps: steps[:1]}, &batch, false},
		"long-running": {workload.Job{Steps: steps}, &batch, true},
		"scheduled":    {workload.Job{Steps: steps[:1], Repeats: 1}, &batch, true},
		"no objective": {workload.Job{Steps: steps[:1]}, &noObjective, true},
	} {
		if got := admission.Exempt(&c.job, c.queue); got != c.want {
			t.Errorf("%s: exempt %v, want %v", name, got, c.want)
		}
	}
}
