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
