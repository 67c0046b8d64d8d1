package admission_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/admission"
)

// TestRetryQueue guards against callers that return together, and against slots that keep
// callers away after they have passed.
func TestRetryQueue(t *testing.T) {
	var q admission.RetryQueue
	load := admission.Load{Ahead: 14_000_000, Rate: 1_000_000, Full: true}
	job := batchJob(start)
	refused := admission.Decision{Verdict: admission.Refuse, RetryAfter: 2 * time.Second}
	slot := 308 * time.Millisecond // 308 core-seconds at 1,000 cores
	for i := range 20 {
		want := min(2*time.Second+time.Duration(i)*slot, admission.MaxRetryAfter)
		if got := q.Assign(start, refused, load, job); got != want {
			t.Errorf("caller %d returns after %v, want %v", i, got, want)
		}
	}
	if got := q.Assign(start.Add(time.Second), refused, load, job); got < 7*time.Second {
		t.Errorf("told a second later: returns after %v, want after those before", got)
	}
	if got := q.Assign(start.Add(20*time.Second), refused, load, job); got != refused.RetryAfter {
		t.Errorf("after all slots have passed: %v, want %v", got, refused.RetryAfter)
	}
}

// TestLongRetryQueueKeepsCallersApart guards against callers that return at the same moment
// because the virtual queue is longer than the longest delay.
func TestLongRetryQueueKeepsCallersApart(t *testing.T) {
	load := admission.Load{Ahead: 99_000_000, Rate: 1_000_000, Full: true}
	job := admission.Job{Work: 4_000_000}
	now := time.Unix(1000, 0)
	var q admission.RetryQueue
	last := time.Time{}
	for i := range 20 {
		returns := now.Add(q.Assign(now, admission.Decision{RetryAfter: admission.MaxRetryAfter}, load, job))
		if !returns.After(last) {
			t.Errorf("caller %d returns at the same time as the one before", i)
		}
		last = returns
		now = now.Add(10 * time.Millisecond)
	}
}
