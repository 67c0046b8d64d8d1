package election_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
)

// TestSuspectReason checks that only a changed incarnation counts as a
// terminated owner process.
func TestSuspectReason(t *testing.T) {
	row := &election.Record{Host: "a", Incarnation: "a-1", Epoch: 3}
	for _, c := range []struct {
		name           string
		status         election.Status
		reason         string
		wantTerminated bool
	}{
		{"healthy owner", election.Status{Incarnation: "a-1", Owner: true, Epoch: 3, CommitAge: 500 * time.Millisecond}, "", false},
		{"restarted", election.Status{Incarnation: "a-2"}, "another life of the host", true},
		{"restarted and owner again", election.Status{Incarnation: "a-2", Owner: true, Epoch: 4}, "another life of the host", true},
		{"same process, not the owner", election.Status{Incarnation: "a-1"}, "no longer the owner", false},
		{"owner of an earlier epoch", election.Status{Incarnation: "a-1", Owner: true, Epoch: 2}, "no longer the owner", false},
		{"last commit too old", election.Status{Incarnation: "a-1", Owner: true, Epoch: 3, CommitAge: time.Second}, "its commits fail", false},
	} {
		if reason, terminated := c.status.SuspectReason(row); reason != c.reason || terminated != c.wantTerminated {
			t.Errorf("%s: reason %q, terminated %v; want %q, %v", c.name, reason, terminated, c.reason, c.wantTerminated)
		}
	}
}
