package control

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/internal/memtable"
)

// TestUnknownJob checks that requests about an unknown job are refused if the
// owner's last commit is old, since another owner may know the job.
func TestUnknownJob(t *testing.T) {
	for _, c := range []struct {
		name string
		// oldCommit is set if the last commit is old.
		oldCommit bool
		want      Result
	}{
		{"recent commit", false, ResultNotFound},
		{"old commit", true, ResultRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newTestOwner(t, memtable.New())
				if c.oldCommit {
					o.committedAt.Add(-2 * int64(election.StaleAfter))
				}
				for name, request := range map[string]func(context.Context, string) reply{"state": o.jobState, "cancel": o.cancel} {
					answered := make(chan reply, 1)
					go func() { answered <- request(t.Context(), "none") }()
					runPosted(o)
					if r := <-answered; r.Result != c.want {
						t.Errorf("%s: %v, want %v", name, r.Result, c.want)
					}
				}
			})
		})
	}
}
