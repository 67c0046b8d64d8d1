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

// TestCommitsLate guards against an owner that is replaced though the table service
// answers it, and against one that is waited for though it is cut off or too busy.
func TestCommitsLate(t *testing.T) {
	row := election.Record{Incarnation: "i", Epoch: 3}
	owner := election.Status{Incarnation: "i", Owner: true, Epoch: 3, CommitAge: 2 * time.Second}
	for name, c := range map[string]struct {
		answerAge, readTime time.Duration
		epoch               uint64
		want                bool
	}{
		"answers late commits":         {200 * time.Millisecond, 4 * time.Millisecond, 3, true},
		"answers nothing":              {time.Second, 4 * time.Millisecond, 3, false},
		"answers slowly":               {time.Second, 300 * time.Millisecond, 3, true},
		"the host's read time unknown": {200 * time.Millisecond, 0, 3, true},
		"an earlier release":           {0, 300 * time.Millisecond, 3, false},
		"a former owner":               {200 * time.Millisecond, 4 * time.Millisecond, 2, false},
	} {
		s := owner
		s.AnswerAge, s.Epoch = c.answerAge, c.epoch
		if got := s.CommitsLate(&row, c.readTime); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
