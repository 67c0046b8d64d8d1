package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/runner"
)

// TestNewOwnerPollsInParts has a host take over a domain of 3,000 workers. Each cycle of
// its loop must begin a bounded number of polls, so that its commits go on in between;
// all workers must be polled, once, in as few cycles as that allows.
func TestNewOwnerPollsInParts(t *testing.T) {
	const workers = 3000
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New()
		o := newTestOwner(t, table)
		o.relays.direct = silentWorkers{}
		for i := range workers {
			o.state.InheritWorker(dispatch.RosterWorker{Worker: runner.Worker{ID: fmt.Sprintf("w%04d", i), Zone: "z"}}, true)
		}
		polled := func() int {
			n := 0
			for _, s := range o.sessions {
				if s.polling {
					n++
				}
			}
			return n
		}
		cycles := 0
		for before := 0; before < workers; cycles++ {
			o.pollWorkers(time.Now())
			begun := polled() - before
			if begun == 0 || begun > maxPollsPerCycle {
				t.Fatalf("cycle %d began %d polls, want 1 to %d", cycles, begun, maxPollsPerCycle)
			}
			before += begun
			if left := before < workers; left != o.pollsLeft {
				t.Fatalf("after %d of %d polls: polls left %v, want %v", before, workers, o.pollsLeft, left)
			}
		}
		if want := (workers + maxPollsPerCycle - 1) / maxPollsPerCycle; cycles != want {
			t.Errorf("%d cycles, want %d", cycles, want)
		}
		o.quit(nil)
	})
}

// TestAnswersDontDelayCommits hands an owner a second's worth of answers at once, as when
// the hosts that relay its orders are killed. Its loop must return to committing and
// planning in between, and handle all of them in the end.
func TestAnswersDontDelayCommits(t *testing.T) {
	const answers, each = 200, 5 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		o := newTestOwner(t, memtable.New())
		handled := 0
		for range answers {
			o.post(func() {
				pause.For(t.Context(), each)
				handled++
			})
		}
		for handled < answers {
			start, before := time.Now(), handled
			o.drainEvents(start)
			if took := time.Since(start); took > maxDrain+each || handled == before {
				t.Fatalf("%d answers handled in %v, want some, in %v at most", handled-before, took, maxDrain+each)
			}
		}
	})
}
