package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

// TestLateAnswerIsUsed checks that an order without an answer counts as unanswered at
// its timeout, and that its answer is passed on when it comes, unless it comes too late.
func TestLateAnswerIsUsed(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for _, c := range []struct {
		name     string
		takes    time.Duration
		want     runner.Status
		wantLate bool
	}{
		{"in time", timeout / 2, runner.Done, false},
		{"late", 2 * timeout, runner.Unknown, true},
		{"too late", timeout + 2*lateAnswerWait, runner.Unknown, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				order := func(ctx context.Context) pollAnswer {
					select {
					case <-time.After(c.takes):
						return pollAnswer{answer: runner.Answer{Status: runner.Done}}
					case <-ctx.Done():
						return pollAnswer{}
					}
				}
				begun, over := time.Now(), make(chan bool, 1)
				a, _ := sendAwaitingLate(t.Context(), timeout, order, func(_ pollAnswer, late bool) { over <- late })
				if waited := time.Since(begun); a.answer.Status != c.want || waited > timeout {
					t.Errorf("%v after %v, want %v within %v", a.answer.Status, waited, c.want, timeout)
				}
				if late := <-over; late != c.wantLate {
					t.Errorf("answer used late: %v, want %v", late, c.wantLate)
				}
				if waited := time.Since(begun); waited > timeout+lateAnswerWait {
					t.Errorf("over after %v, want %v at the most", waited, timeout+lateAnswerWait)
				}
			})
		})
	}
}
