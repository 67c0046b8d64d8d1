package election_test

import (
	"context"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
)

// acquireAs makes a process of a host the next owner of the domain.
func acquireAs(t *testing.T, table infra.Table, host, incarnation string) *election.Committer {
	t.Helper()
	previous, version, err := election.Read(context.Background(), table)
	if err != nil {
		t.Fatal(err)
	}
	self := election.Record{Host: host, Address: host, Incarnation: incarnation}
	c, err := election.Acquire(context.Background(), table, self, previous, version)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// expectEarlier checks the epochs of the earlier owners that a row lists.
func expectEarlier(t *testing.T, c *election.Committer, want ...uint64) {
	t.Helper()
	row := c.Record()
	ok := len(row.Earlier) == len(want)
	for i := 0; ok && i < len(want); i++ {
		ok = row.Earlier[i].Epoch == want[i] && row.Earlier[i].OrdersMS >= election.Validity.Milliseconds()
	}
	if !ok {
		t.Errorf("epoch %d lists %+v, want the epochs %v for at least %v each", row.Epoch, row.Earlier, want, election.Validity)
	}
}

// TestRowListsAllEarlierOwners guards against a third owner that knows only of the
// second one, while the first one still gives orders.
func TestRowListsAllEarlierOwners(t *testing.T) {
	table := memtable.New()
	expectEarlier(t, acquireAs(t, table, "a", "a1"))
	expectEarlier(t, acquireAs(t, table, "b", "b1"), 1)
	expectEarlier(t, acquireAs(t, table, "c", "c1"), 1, 2)
	expectEarlier(t, acquireAs(t, table, "b", "b2"), 1, 3) // b's process of epoch 2 has terminated
	expectEarlier(t, acquireAs(t, table, "a", "a1"), 3, 4) // so has the ownership of this process
}

// TestResignedOwnerIsNotListed checks that a successor doesn't wait for orders of an
// owner that has resigned, but for those of the owners before it.
func TestResignedOwnerIsNotListed(t *testing.T) {
	table := memtable.New()
	acquireAs(t, table, "a", "a1")
	b := acquireAs(t, table, "b", "b1")
	if err := b.Resign(context.Background()); err != nil {
		t.Fatal(err)
	}
	expectEarlier(t, acquireAs(t, table, "c", "c1"), 1)
}

// TestEarlierOwnersRunOut checks until when earlier owners count as giving orders,
// also in the row that a successor reads.
func TestEarlierOwnersRunOut(t *testing.T) {
	row := &election.Record{Earlier: []election.EarlierOwner{{Epoch: 1, OrdersMS: 4000}, {Epoch: 2, OrdersMS: 9000}}}
	e := election.NewEarlierOwners(row, time.Minute)
	steps := []struct {
		after   time.Duration
		stopped uint64
		pending int
		end     time.Duration
	}{
		{0, 0, 2, 9 * time.Second},
		{4 * time.Second, 0, 1, 9 * time.Second},
		{5 * time.Second, 2, 0, 5 * time.Second},
	}
	for _, s := range steps {
		now := time.Minute + s.after
		e.Stopped(s.stopped)
		pending := e.Pending(now)
		if len(pending) != s.pending || e.OrdersEnd(now) != time.Minute+s.end {
			t.Errorf("after %v: %+v, orders end after %v; want %d owners, %v", s.after, pending, e.OrdersEnd(now)-time.Minute, s.pending, s.end)
		}
		for _, p := range pending {
			if left := time.Minute + s.end - now; p.OrdersMS < left.Milliseconds() && p.Epoch == 2 {
				t.Errorf("after %v: epoch %d has %d ms left, want %v or more", s.after, p.Epoch, p.OrdersMS, left)
			}
		}
	}
}
