package election_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/election"
)

// earlierRelease returns the row of an owner of a release that lists no earlier owners and
// keeps no epochs on the roster, and that replaced the owner of the row previous.
func earlierRelease(previous *election.Record, host string) *election.Record {
	return &election.Record{Host: host, Address: host, Incarnation: host, Epoch: previous.Epoch + 1}
}

// TestOwnerBeforeEarlierReleaseIsWaitedFor guards against a successor that forgets the owner
// which an owner of an earlier release has replaced, as that one doesn't list it.
func TestOwnerBeforeEarlierReleaseIsWaitedFor(t *testing.T) {
	first := election.Successor(&election.Record{}, election.Record{Host: "a", Address: "a", Incarnation: "a"}, 0)
	third := election.Successor(earlierRelease(&first, "b"), election.Record{Host: "c", Address: "c", Incarnation: "c"}, 0)
	e := election.NewEarlierOwners(&third, 0)
	e.Stopped(2, 0) // its host has answered
	for _, o := range e.List(0) {
		if o.Epoch <= 1 && o.OrdersMS >= election.Validity.Milliseconds() {
			return
		}
	}
	t.Errorf("once the owner of epoch 2 has stopped, %+v remain, want the time for which that of epoch 1 may give orders", e.List(0))
}
