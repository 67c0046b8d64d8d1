package booking

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
)

// TestOutcomeNeverStored checks that a claim whose outcome could not be stored
// during the booking window is removed from memory, and that its request does
// not run again while its row exists.
func TestOutcomeNeverStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness()
		r.a.opt.InlineBody = 0 // every response needs the object store
		r.a.opt.Objects = noObjects{}
		r.do(t, r.a, outcome.Answered, "")
		<-time.After(r.a.opt.Window() + time.Minute)
		synctest.Wait()
		r.flush(t)
		r.a.mu.Lock()
		kept := len(r.a.flights)
		r.a.mu.Unlock()
		if kept != 0 {
			t.Errorf("%d claims in memory after the booking window, want 0", kept)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, refusal := r.a.Do(ctx, newRequest("x"), r.response); refusal.Kind != outcome.Unknown {
			t.Errorf("retry after the booking window: got refusal %+v, want unknown", refusal)
		}
		r.wantRuns(t, 1)
	})
}

// noObjects is an object store that refuses all writes.
type noObjects struct{ *objects }

func (noObjects) Put(context.Context, string, []byte) error { return context.DeadlineExceeded }
