package control

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/workload"
)

// TestResignDuringTakeover checks that a host stopped while its takeover commit
// is in flight gives the domain up as soon as it owns it.
func TestResignDuringTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New()
		n := newTestNode(table)
		committer := acquireDomain(t, table)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		n.Resign(ctx) // no owner is set yet
		n.lead(ctx, committer, election.Record{}, boottime())
		expectResigned(t, table)
	})
}

// TestResignDuringLoad checks that a stop completes if the owner fails to load
// its state and its loop never runs.
func TestResignDuringLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &unreadableTable{Table: memtable.New(), fail: make(chan struct{})}
		n := newTestNode(table)
		committer := acquireDomain(t, table)
		go n.lead(t.Context(), committer, election.Record{}, boottime())
		synctest.Wait() // the state is being loaded
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			n.Resign(t.Context())
		}()
		synctest.Wait()
		close(table.fail)
		synctest.Wait()
		select {
		case <-stopped:
		default:
			t.Error("the stop still waits for an owner whose loop never ran")
		}
	})
}

// newTestNode returns a configured node that isn't running.
func newTestNode(table infra.Table) *Node {
	n := NewNode(Options{
		Host: "a", Incarnation: "a", Table: table, Members: noMembers{}, Log: slog.New(slog.DiscardHandler),
		Metrics: NewMetrics(prometheus.NewRegistry()), Retention: time.Minute, MaxLease: 10 * time.Second,
	})
	n.SetConfig(Config{Version: 1, Queues: []workload.Queue{{Name: "q", Pool: "pool"}}})
	return n
}

// acquireDomain acquires an empty domain for host a.
func acquireDomain(t *testing.T, table infra.Table) *election.Committer {
	t.Helper()
	previous, version, err := election.Read(t.Context(), table)
	if err != nil {
		t.Fatal(err)
	}
	c, err := election.Acquire(t.Context(), table, election.Record{Host: "a", Incarnation: "a"}, election.Replaced{Record: previous, Version: version}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// unreadableTable is a table whose scans block until fail is closed and then
// fail.
type unreadableTable struct {
	infra.Table
	fail chan struct{}
}

// Scan implements infra.Table.
func (u *unreadableTable) Scan(ctx context.Context, _, _ string, _ int) ([]infra.Row, error) {
	select {
	case <-u.fail:
	case <-ctx.Done():
	}
	return nil, errors.New("scan failed")
}

// TestReplacedHostDoesNotLead guards against a host that tells a newer owner that it
// gives no orders, and then learns that its own takeover had succeeded.
func TestReplacedHostDoesNotLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New()
		n := newTestNode(table)
		committer := acquireDomain(t, table)
		n.handleNewOwner(election.Record{Host: "b", Incarnation: "b", Epoch: committer.Record().Epoch + 1})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			n.lead(ctx, committer, election.Record{}, boottime())
		}()
		synctest.Wait()
		select {
		case <-ended:
		default:
			t.Error("the host owns the domain although it knows of a newer owner")
		}
	})
}

// TestValidityCountsFromBeforeAcquisition guards against an owner that gives orders for
// longer than others wait for, since the answer to its takeover was late.
func TestValidityCountsFromBeforeAcquisition(t *testing.T) {
	o := newTestOwnerAt(t, memtable.New(), boottime()-election.Validity)
	if o.ownershipValid() {
		t.Errorf("owner may give orders %v after it sent its takeover, want it to stop then", election.Validity)
	}
}

// TestResignedOwnerRenewsNothing guards against a successor that takes the leases of a
// resigned owner as over while that one renews them.
func TestResignedOwnerRenewsNothing(t *testing.T) {
	table := memtable.New()
	o := newTestOwner(t, table)
	go o.run()
	if !o.ownershipValid() {
		t.Fatal("a new owner may give no orders")
	}
	o.resign(t.Context())
	expectResigned(t, table)
	if !o.released.Load() || o.ownershipValid() {
		t.Error("an owner may give orders after its resignation")
	}
}

// TestLateAttemptCounts guards against a row that names a host which doesn't act, since its
// attempt to acquire the domain took effect after it was given up.
func TestLateAttemptCounts(t *testing.T) {
	previous := election.Record{Host: "b", Incarnation: "b", Epoch: 4}
	late := election.Successor(&previous, election.Record{Host: "a", Incarnation: "a"}, 0)
	resigned, other := late, late
	resigned.Resigned, other.Incarnation = true, "another process"
	for name, c := range map[string]struct {
		row     election.Record
		attempt attempted
		want    bool
	}{
		"given up":                 {late, attempted{previous: previous, open: true}, true},
		"led and lost":             {late, attempted{previous: previous}, false},
		"resigned":                 {resigned, attempted{previous: previous, open: true}, false},
		"of another process":       {other, attempted{previous: previous, open: true}, false},
		"of an attempt before one": {late, attempted{previous: late, open: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := memtable.New()
				value, err := c.row.Encode()
				if err != nil {
					t.Fatal(err)
				}
				table.Put(election.OwnerKey, value)
				n := newTestNode(table)
				n.attempted = c.attempt
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var epoch uint64
				n.opts.OwnershipChanged = func(owner bool) {
					if owner {
						epoch = late.Epoch
						cancel()
					}
				}
				row := newRowReader(table).read(ctx)
				if got := n.resume(ctx, row); got != c.want || got != (epoch == late.Epoch) {
					t.Errorf("resumed: %v in epoch %d, want %v", got, epoch, c.want)
				}
			})
		})
	}
}

// TestLeasesShrinkWithoutCommits guards against an owner that can't commit and gives leases that
// a successor doesn't wait for.
func TestLeasesShrinkWithoutCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOwner(t, memtable.New())
		o.epochsDurable.Store(true)
		const age = 2 * time.Second
		o.committedAt.Store(int64(boottime() - age))
		if got, most := o.leaseLeft(), election.CommitLease-age; got <= 0 || got > most {
			t.Errorf("%v after the last commit leases last %v, want at most %v", age, got, most)
		}
		o.committedAt.Store(int64(boottime() - 2*election.CommitLease))
		if got := o.leaseLeft(); got > 0 {
			t.Errorf("leases last %v without commits and acceptances, want none", got)
		}
		o.acceptedAt.Store(int64(boottime()))
		if got := o.leaseLeft(); got <= 0 || got > election.MajorityLease {
			t.Errorf("leases last %v while most workers accept orders, want at most %v", got, election.MajorityLease)
		}
	})
}
