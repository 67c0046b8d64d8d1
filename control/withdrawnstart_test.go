package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/runner"
)

// TestWithdrawnStartEndsNoOwner guards against an owner that takes its own withdrawal of
// a start under the newest token for a worker's refusal, and ends.
func TestWithdrawnStartEndsNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOwner(t, memtable.New())
		w := runner.Worker{ID: "w", Address: "127.0.0.1:1", Pool: "pool"}
		o.setMembers([]runner.Worker{w})
		_, renewal, _ := o.state.Renewal(time.Now(), w.ID, 0)
		s := o.startSession(w.ID)
		s.token.Store(renewal.Token)
		o.sessions[w.ID] = s
		o.committedAt.Store(int64(boottime() - election.Validity)) // so no start is sent
		o.issueStart(dispatch.StartOrder{Worker: w, Sending: new(dispatch.Sending), Start: runner.Start{Token: renewal.Token}})
		if posted := runPosted(o); posted != 1 {
			t.Fatalf("%d answers to the start, want one", posted)
		}
		if err := o.ctx.Err(); err != nil {
			t.Error("the owner has ended")
		}
	})
}
