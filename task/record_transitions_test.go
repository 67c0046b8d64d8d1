package task

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/fireflygate/fireflygate/infra"
)

const testFailures, testKills = 3, 4

// recordMachine is a rapid state machine over one record.
type recordMachine struct {
	rec Record
	// runs counts the starts of each epoch.
	runs   map[uint64]int
	starts int
}

// apply checks the invariants of a transition and stores its result.
func (l *recordMachine) apply(t *rapid.T, next Record, tr Transition) {
	before := l.rec
	if tr != Applied {
		if next.State != before.State || next.Epoch != before.Epoch {
			t.Fatalf("transition with result %v changed the record", tr)
		}
		return
	}
	if next.Epoch < before.Epoch || next.Epoch > before.Epoch+1 {
		t.Fatalf("epoch went from %d to %d", before.Epoch, next.Epoch)
	}
	if before.State.Terminal() && (before.State != Parked || next.State != Cancelled) {
		t.Fatalf("terminal state %v became %v", before.State, next.State)
	}
	if next.State.Active() != (next.Worker != "") {
		t.Fatalf("state %v has worker %q", next.State, next.Worker)
	}
	l.rec = next
}

func (l *recordMachine) start(t *rapid.T) {
	next, tr := l.rec.Start(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "worker"), "", infra.Resources{})
	checkpoint := l.rec.Checkpoint
	l.apply(t, next, tr)
	if tr != Applied {
		return
	}
	l.runs[next.Epoch]++
	if l.runs[next.Epoch] > 1 {
		t.Fatalf("epoch %d has a second run", next.Epoch)
	}
	if next.Checkpoint != checkpoint {
		t.Fatal("start changed the checkpoint")
	}
	l.starts++
}

// epoch draws the current epoch, or in a quarter of the cases the previous one.
func (l *recordMachine) epoch(t *rapid.T) uint64 {
	return l.rec.Epoch - uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "age"))
}

// end applies a random report on a run.
func (l *recordMachine) end(t *rapid.T) {
	e := l.epoch(t)
	before := l.rec
	var next Record
	var tr Transition
	switch rapid.IntRange(0, 6).Draw(t, "end") {
	case 0:
		next, tr = before.Finished(e, 5, 1)
	case 1:
		next, tr = before.Failed(e, "bad", 5, testFailures, 1)
	case 2:
		next, tr = before.Killed(e, "memory", 5, testKills, 1)
	case 3:
		next, tr = before.Stopped(e, "cp", 5, 1)
	case 4:
		next, tr = before.Refused(e, "no", 1)
	case 5:
		next, tr = before.LeaseExpired(e, 5, 1)
	default:
		next, tr = before.Confirmed(e)
	}
	if e != before.Epoch && tr != StaleEpoch {
		t.Fatalf("report on epoch %d changed epoch %d", e, before.Epoch)
	}
	if tr == Applied && before.State == Stopping && next.State != Cancelled && next.State != Done {
		t.Fatalf("a cancelled job became %v", next.State)
	}
	l.apply(t, next, tr)
}

func TestRecordTransitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &recordMachine{rec: New(Spec{ID: "j"}), runs: map[uint64]int{}}
		t.Repeat(map[string]func(*rapid.T){
			"start": l.start,
			"end":   l.end,
			"cancel": func(t *rapid.T) {
				next, tr := l.rec.CancelRequested(1)
				l.apply(t, next, tr)
			},
			"": func(t *rapid.T) {
				if l.starts != int(l.rec.Epoch) {
					t.Fatalf("%d starts under %d epochs", l.starts, l.rec.Epoch)
				}
			},
		})
	})
}

func TestEvictionKeepsCheckpoint(t *testing.T) {
	r, _ := New(Spec{ID: "j"}).Start("a", "", infra.Resources{})
	r, tr := r.Stopped(1, "cp1", 400, 1)
	if tr != Applied || r.State != Pending || r.Checkpoint != "cp1" || r.Evictions != 1 {
		t.Fatalf("after eviction: %+v %v", r, tr)
	}
	if _, tr := r.Stopped(1, "cp0", 1, 1); tr == Applied {
		t.Error("a second stop of the same run was applied")
	}
	r, _ = r.Start("b", "", infra.Resources{})
	r, _ = r.LeaseExpired(2, 900, 1)
	if r.Checkpoint != "cp1" || r.LostMS != 500 {
		t.Errorf("after lease expiry: checkpoint %q, lost %d ms; want cp1 and 500 ms", r.Checkpoint, r.LostMS)
	}
}

func TestKillRaisesMemoryFloor(t *testing.T) {
	spec := Spec{ID: "j", Resources: infra.Resources{MemoryMB: 100}}
	for reserved, want := range map[int64]int64{0: 150, 60: 90, 400: 600} {
		r, _ := New(spec).Start("a", "", infra.Resources{MemoryMB: reserved})
		r, _ = r.Killed(1, "memory", 0, testKills, 1)
		if got := r.SpecWithFloor(); got.Floor.MemoryMB != want || got.Resources != spec.Resources {
			t.Errorf("%d MB reserved: floor %d MB after a kill, want %d; declared size %+v, want it unchanged", reserved, got.Floor.MemoryMB, want, got.Resources)
		}
	}
}
