package task

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/fireflygate/fireflygate/infra"
)

const testFailures, testKills = 3, 4

// life is a rapid state machine over one record.
type life struct {
	rec Record
	// runs counts the starts of each epoch.
	runs map[uint64]int
	// starts counts all starts.
	starts int
}

// take checks what holds for every transition and keeps the result.
func (l *life) take(t *rapid.T, next Record, tr Transition) {
	before := l.rec
	if tr != Applied {
		if next.State != before.State || next.Epoch != before.Epoch {
			t.Fatalf("a transition that is %v changed the record", tr)
		}
		return
	}
	if next.Epoch < before.Epoch || next.Epoch > before.Epoch+1 {
		t.Fatalf("epoch went from %d to %d", before.Epoch, next.Epoch)
	}
	if before.State.Terminal() && (before.State != Parked || next.State != Cancelled) {
		t.Fatalf("%v became %v", before.State, next.State)
	}
	if next.State.Active() != (next.Worker != "") {
		t.Fatalf("%v with worker %q", next.State, next.Worker)
	}
	l.rec = next
}

func (l *life) start(t *rapid.T) {
	next, tr := l.rec.Start(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "worker"), infra.Resources{})
	checkpoint := l.rec.Checkpoint
	l.take(t, next, tr)
	if tr != Applied {
		return
	}
	l.runs[next.Epoch]++
	if l.runs[next.Epoch] > 1 {
		t.Fatalf("epoch %d has a second run", next.Epoch)
	}
	if next.Checkpoint != checkpoint {
		t.Fatal("a start lost its checkpoint")
	}
	l.starts++
}

// epoch draws mostly the current epoch, at times a stale one.
func (l *life) epoch(t *rapid.T) uint64 {
	return l.rec.Epoch - uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "age"))
}

// end has a run end in some way.
func (l *life) end(t *rapid.T) {
	e := l.epoch(t)
	was := l.rec
	var next Record
	var tr Transition
	switch rapid.IntRange(0, 6).Draw(t, "end") {
	case 0:
		next, tr = was.Finished(e, 5, 1)
	case 1:
		next, tr = was.Failed(e, "bad", 5, testFailures, 1)
	case 2:
		next, tr = was.Killed(e, "memory", 5, testKills, 1)
	case 3:
		next, tr = was.Stopped(e, "cp", 5, 1)
	case 4:
		next, tr = was.Refused(e, "no", 1)
	case 5:
		next, tr = was.LeaseExpired(e, 5, 1)
	default:
		next, tr = was.Confirmed(e)
	}
	if e != was.Epoch && tr != StaleEpoch {
		t.Fatalf("word on epoch %d changed epoch %d", e, was.Epoch)
	}
	if tr == Applied && was.State == Stopping && next.State != Cancelled && next.State != Done {
		t.Fatalf("a cancelled job became %v", next.State)
	}
	l.take(t, next, tr)
}

func TestLife(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &life{rec: New(Spec{ID: "j"}), runs: map[uint64]int{}}
		t.Repeat(map[string]func(*rapid.T){
			"start": l.start,
			"end":   l.end,
			"cancel": func(t *rapid.T) {
				next, tr := l.rec.CancelRequested(1)
				l.take(t, next, tr)
			},
			"": func(t *rapid.T) {
				if l.starts != int(l.rec.Epoch) {
					t.Fatalf("%d starts under %d epochs", l.starts, l.rec.Epoch)
				}
			},
		})
	})
}

func TestEvictionKeepsTheCheckpointUntilTheNextEpoch(t *testing.T) {
	r, _ := New(Spec{ID: "j"}).Start("a", infra.Resources{})
	r, tr := r.Stopped(1, "cp1", 400, 1)
	if tr != Applied || r.State != Pending || r.Checkpoint != "cp1" || r.Evictions != 1 {
		t.Fatalf("after eviction: %+v %v", r, tr)
	}
	if _, tr := r.Stopped(1, "cp0", 1, 1); tr == Applied {
		t.Error("the same run was stopped twice")
	}
	r, _ = r.Start("b", infra.Resources{})
	r, _ = r.LeaseExpired(2, 900, 1)
	if r.Checkpoint != "cp1" || r.LostMS != 500 {
		t.Errorf("after a lapse: checkpoint %q, lost %d ms; want cp1 and the 500 beyond it", r.Checkpoint, r.LostMS)
	}
}

func TestKilledGrows(t *testing.T) {
	spec := Spec{ID: "j", Resources: infra.Resources{MemoryMB: 100}}
	for reserved, want := range map[int64]int64{0: 150, 60: 90, 400: 600} {
		r, _ := New(spec).Start("a", infra.Resources{MemoryMB: reserved})
		r, _ = r.Killed(1, "memory", 0, testKills, 1)
		if got := r.SpecWithFloor(); got.Floor.MemoryMB != want || got.Resources != spec.Resources {
			t.Errorf("%d MB reserved: floor %d MB after a kill, want %d; declared %+v", reserved, got.Floor.MemoryMB, want, got.Resources)
		}
	}
}
