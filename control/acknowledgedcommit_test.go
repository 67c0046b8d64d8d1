package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/runner"
)

// commitAll commits the changes of the owner's state, and handles what follows.
func commitAll(t *testing.T, o *Owner) {
	t.Helper()
	b, err := o.state.Flush(time.Now(), maxBatchWrites)
	if err != nil {
		t.Fatal(err)
	}
	o.committing = true
	go o.commit(b)
	runPosted(o)
}

// reportEnds polls worker w, which lists ends, and returns what the poll acknowledged.
func reportEnds(t *testing.T, o *Owner, ends ...runner.RunEnd) uint64 {
	t.Helper()
	now := time.Now()
	_, renewal, ok := o.state.Renewal(now, "w", election.Lease)
	if !ok {
		t.Fatal("the worker isn't known")
	}
	o.state.HandleReport(now, "w", renewal, runner.Answer{Status: runner.Done, ClockMS: 1}, runner.Report{ClockMS: 1, Ends: ends})
	return renewal.Acknowledged
}

// replaceRow lets another host own the domain.
func replaceRow(t *testing.T, table *memtable.Table) {
	t.Helper()
	row, _, err := election.Read(t.Context(), table)
	if err != nil {
		t.Fatal(err)
	}
	successor := election.Successor(&row, election.Record{Host: "b", Incarnation: "b"}, 0)
	value, err := successor.Encode()
	if err != nil {
		t.Fatal(err)
	}
	table.Put(election.OwnerKey, value)
}

// TestEndsAreAcknowledgedAfterTheirCommit guards against a worker that forgets an end which
// no later owner learns of: the commit with the end has no answer yet, or is refused since
// another host owns the domain.
func TestEndsAreAcknowledgedAfterTheirCommit(t *testing.T) {
	for name, replaced := range map[string]bool{"applied late": false, "refused": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &blockingTable{Table: memtable.New()}
				o := newTestOwner(t, table)
				o.state.SetMembers(time.Now(), []runner.Worker{{
					ID: "w", Address: "10.0.0.1:80", Pool: "pool", Capacity: infra.Resources{MilliCPU: 1000, MemoryMB: 1000},
				}})
				acceptJob(o, "job")
				commitAll(t, o)
				reportEnds(t, o)
				commitAll(t, o)
				starts := o.state.Plan(time.Now()).Starts
				if len(starts) != 1 {
					t.Fatalf("%d starts, want 1", len(starts))
				}
				o.state.HandleStartAnswer(time.Now(), starts[0], runner.Answer{Status: runner.Done, ClockMS: 1})
				end := runner.RunEnd{Number: 1, Task: starts[0].Start.Task, Run: starts[0].Start.Run, Kind: runner.EndDone}
				reportEnds(t, o, end)

				table.hold = make(chan struct{})
				commitAll(t, o)
				if acknowledged := reportEnds(t, o, end); acknowledged != 0 {
					t.Errorf("ends up to %d are acknowledged while their commit has no answer", acknowledged)
				}
				want := uint64(1)
				if replaced {
					want = 0
					replaceRow(t, table.Table.(*memtable.Table))
				}
				close(table.hold)
				runPosted(o)
				if acknowledged := reportEnds(t, o, end); acknowledged != want {
					t.Errorf("ends up to %d are acknowledged after the answer, want %d", acknowledged, want)
				}
				if ended := o.ctx.Err() != nil; ended != replaced {
					t.Errorf("the owner has ended: %v, want %v", ended, replaced)
				}
			})
		})
	}
}
