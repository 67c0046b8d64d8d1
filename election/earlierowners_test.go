package election_test

import (
	"context"
	"slices"
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
	c, err := election.Acquire(context.Background(), table, self, election.Replaced{Record: previous, Version: version}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// expectEarlier checks the epochs of the earlier owners that a row lists as those that
// may give orders.
func expectEarlier(t *testing.T, c *election.Committer, want ...uint64) {
	t.Helper()
	row := c.Record()
	var got []uint64
	for _, e := range row.Earlier {
		switch {
		case e.Stopped():
		case e.OrdersMS < election.Validity.Milliseconds():
			t.Errorf("epoch %d lists epoch %d for %d ms, want %v or more", row.Epoch, e.Epoch, e.OrdersMS, election.Validity)
		default:
			got = append(got, e.Epoch)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("epoch %d lists the epochs %v, want %v", row.Epoch, got, want)
	}
	if uint64(len(row.Earlier)) != row.Epoch-1 {
		t.Errorf("epoch %d lists %d earlier owners, want all %d, as leases of theirs may last", row.Epoch, len(row.Earlier), row.Epoch-1)
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

// TestResignedOwnerIsNotWaitedFor checks that a successor doesn't wait for orders of an
// owner that has resigned, but for those of the owners before it.
func TestResignedOwnerIsNotWaitedFor(t *testing.T) {
	table := memtable.New()
	acquireAs(t, table, "a", "a1")
	b := acquireAs(t, table, "b", "b1")
	if err := b.Resign(context.Background()); err != nil {
		t.Fatal(err)
	}
	expectEarlier(t, acquireAs(t, table, "c", "c1"), 1)
}

// TestEarlierOwnersRunOut checks until when earlier owners count as giving orders, also
// at a successor that reads their row.
func TestEarlierOwnersRunOut(t *testing.T) {
	row := &election.Record{Earlier: []election.EarlierOwner{{Epoch: 1, OrdersMS: 4000}, {Epoch: 2, OrdersMS: 9000}}}
	e := election.NewEarlierOwners(row, time.Minute)
	if !e.Stopped(2, time.Minute+5*time.Second) || e.Stopped(2, time.Minute+6*time.Second) {
		t.Error("an owner has to stop once")
	}
	for _, s := range []struct {
		after time.Duration
		want  []time.Duration // end of orders, by epoch
	}{
		{0, []time.Duration{4 * time.Second, 5 * time.Second}},
		{8 * time.Second, []time.Duration{-4 * time.Second, -3 * time.Second}},
		{24500 * time.Millisecond, []time.Duration{-19500 * time.Millisecond}},
	} {
		list := e.List(time.Minute + s.after)
		list = list[:min(len(list), len(s.want))]
		for i, want := range s.want {
			if i >= len(list) {
				t.Errorf("after %v: %d owners, want %d or more", s.after, len(list), len(s.want))
				break
			}
			// A successor may count them as giving orders for longer, not for less long.
			got := time.Duration(list[i].OrdersMS) * time.Millisecond
			if got < want || got > want+want.Abs()/40+time.Millisecond {
				t.Errorf("after %v: epoch %d stops in %v, want %v or slightly more", s.after, list[i].Epoch, got, want)
			}
		}
	}
	if list := e.List(time.Minute + 26*time.Second); len(list) != 0 {
		t.Errorf("after 26 s: %+v is listed, want nobody", list)
	}
}
