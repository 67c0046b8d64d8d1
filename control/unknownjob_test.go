package control

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/internal/memtable"
)

// TestUnknownJob asks an owner for a job that it doesn't know, and to cancel
// it. There is no such job only if its last commit is young: it may have been
// paused, and replaced by an owner that knows the job.
func TestUnknownJob(t *testing.T) {
	for _, c := range []struct {
		name string
		// paused is set if the last commit is old.
		paused bool
		want   Result
	}{
		{"commits", false, ResultNotFound},
		{"was paused", true, ResultRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newTestOwner(t, memtable.New())
				if c.paused {
					o.provenAt.Add(-2 * int64(election.StaleAfter))
				}
				for name, ask := range map[string]func(context.Context, string) reply{"state": o.jobState, "cancel": o.cancel} {
					answered := make(chan reply, 1)
					go func() { answered <- ask(t.Context(), "none") }()
					runPosted(o)
					if r := <-answered; r.Result != c.want {
						t.Errorf("%s: %v, want %v", name, r.Result, c.want)
					}
				}
			})
		})
	}
}
