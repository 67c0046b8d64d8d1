package election_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
)

// TestDoubt tells an owner's process that is gone from one that is alive.
func TestDoubt(t *testing.T) {
	leader := &election.Record{Host: "a", Incarnation: "a-1", Epoch: 3}
	for _, c := range []struct {
		name     string
		answer   election.Status
		why      string
		wantGone bool
	}{
		{"sound", election.Status{Incarnation: "a-1", Owner: true, Epoch: 3, CommitAge: 500 * time.Millisecond}, "", false},
		{"started again", election.Status{Incarnation: "a-2"}, "another life of the host", true},
		{"started again and owner", election.Status{Incarnation: "a-2", Owner: true, Epoch: 4}, "another life of the host", true},
		{"doesn't know yet, or has stopped", election.Status{Incarnation: "a-1"}, "no longer the owner", false},
		{"still an owner of before", election.Status{Incarnation: "a-1", Owner: true, Epoch: 2}, "no longer the owner", false},
		{"doesn't commit", election.Status{Incarnation: "a-1", Owner: true, Epoch: 3, CommitAge: time.Second}, "its commits fail", false},
	} {
		if why, gone := c.answer.SuspectReason(leader); why != c.why || gone != c.wantGone {
			t.Errorf("%s: %q, gone %v; want %q, %v", c.name, why, gone, c.why, c.wantGone)
		}
	}
}
