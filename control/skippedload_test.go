package control

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
)

const weakCores, strongCores = 0.2, 0.8

// loadAsWeak lets a weak host own a domain whose last owner was strong, and answers the
// scans of its load after a strong host has pinged it. It returns the owner's row after
// the load, and whether the host still owns the domain.
func loadAsWeak(t *testing.T, table infra.Table, previous election.Record) (row election.Record, owns bool) {
	t.Helper()
	slow := &gatedTable{Table: table, open: make(chan struct{})}
	n := newTestNode(slow)
	n.opts.Cores = weakCores
	self := election.Record{Host: "a", Incarnation: "a", Cores: weakCores}
	c, err := election.Acquire(t.Context(), table, self, election.Replaced{Record: previous}, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go n.lead(ctx, c, previous, boottime())
	synctest.Wait() // the state is being loaded
	n.candidates.Observe(election.Candidate{Address: "strong", Zone: "zone", Cores: strongCores}, boottime())
	close(slow.open)
	synctest.Wait()
	row, _, err = election.Read(t.Context(), table)
	if err != nil {
		t.Fatal(err)
	}
	return row, n.Owns()
}

// gatedTable is a table whose scans wait until open is closed.
type gatedTable struct {
	infra.Table
	open chan struct{}
}

// Scan implements infra.Table.
func (g *gatedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	<-g.open
	return g.Table.Scan(ctx, prefix, after, limit)
}

// TestWeakOwnerSkipsLoad guards against a weak host that loads a domain until leases
// lapse and hands it over only then. It must hand over at once, and leave what the row
// says of strong hosts and of the roster as it was.
func TestWeakOwnerSkipsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		previous := election.Record{Host: "b", Incarnation: "b", Epoch: 4, Cores: strongCores, RosterEpochs: true, ListsEarlier: true}
		row, owns := loadAsWeak(t, memtable.New(), previous)
		if owns || !row.Resigned || !row.HandedOver {
			t.Errorf("owns the domain %v, row %+v; want it handed over", owns, row)
		}
		if row.Cores != strongCores || !row.RosterEpochs {
			t.Errorf("row %+v, want the reference and the roster's epochs of the owner before", row)
		}
	})
}

// TestWeakOwnerLoadsAfterRefusedHandover guards against weak hosts that pass the domain
// on for ever while the strong host that pings them doesn't acquire it.
func TestWeakOwnerLoadsAfterRefusedHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		previous := election.Record{
			Host: "a", Incarnation: "a", Epoch: 5, Cores: strongCores, ListsEarlier: true, Resigned: true, HandedOver: true,
		}
		row, owns := loadAsWeak(t, memtable.New(), previous)
		if !owns || row.Resigned {
			t.Errorf("owns the domain %v, row %+v; want it to go on", owns, row)
		}
	})
}
