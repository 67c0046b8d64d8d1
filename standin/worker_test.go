package standin_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/standin"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(ms int64) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func newWorker() *standin.Worker {
	return standin.NewWorker(standin.WorkerConfig{
		Name:     "w",
		Capacity: infra.Resources{MilliCPU: 4000, MemoryMB: 1000},
		Behaviour: standin.Behaviour{
			Size:     map[string]float64{"big": 3},
			Slowdown: map[string]map[string]float64{"victim": {"noisy": 1}},
		},
	}, epoch)
}

func order(kind infra.OrderKind, job string, epoch uint64, class string) infra.Order {
	return infra.Order{
		Kind: kind, Run: infra.RunID{Job: job, Epoch: epoch}, Class: class, WorkMS: 1000,
		Resources: infra.Resources{MilliCPU: 2000, MemoryMB: 300},
	}
}

// withIncarnation adds the worker's current incarnation to the exchange and makes it valid for
// one second.
func withIncarnation(t *testing.T, w *standin.Worker, now time.Time, x infra.Exchange) infra.Exchange {
	t.Helper()
	reply, err := w.ExchangeAt(now, infra.Exchange{OwnerEpoch: x.OwnerEpoch, LeaseMS: x.LeaseMS})
	if err != nil {
		t.Fatal(err)
	}
	x.Incarnation, x.ValidUntilMS = reply.Incarnation, reply.ClockMS+1000
	return x
}

// exchange sends orders with owner epoch 1 and a lease of 5 s and returns all runs.
func exchange(t *testing.T, w *standin.Worker, now time.Time, orders ...infra.Order) map[infra.RunID]infra.RunReport {
	t.Helper()
	reply, err := w.ExchangeAt(now, withIncarnation(t, w, now, infra.Exchange{OwnerEpoch: 1, LeaseMS: 5000, Orders: orders}))
	if err != nil || reply.Refused || !reply.FullList {
		t.Fatalf("reply %+v: %v", reply, err)
	}
	runs := map[infra.RunID]infra.RunReport{}
	for _, r := range reply.Runs {
		runs[r.Run] = r
	}
	return runs
}

func TestWorkerCompletesRunsAndExpiresLease(t *testing.T) {
	w := newWorker()
	exchange(t, w, at(0), order(infra.OrderStart, "a", 1, ""))
	runs := exchange(t, w, at(1001), order(infra.OrderStart, "b", 1, ""))
	if got := runs[infra.RunID{Job: "a", Epoch: 1}]; got.State != infra.RunDone {
		t.Errorf("run of a: %+v, want done", got)
	}
	w.SetAt(at(1500), standin.WorkerFaults{Paused: true})
	w.SetAt(at(9000), standin.WorkerFaults{})
	runs = exchange(t, w, at(9001))
	if got := runs[infra.RunID{Job: "b", Epoch: 1}]; got.State != infra.RunExpired || got.DoneMS > 500 {
		t.Errorf("run of b: %+v, want expired without progress while paused", got)
	}
}

func TestWorkerRefusesLateStarts(t *testing.T) {
	w := newWorker()
	exchange(t, w, at(0), order(infra.OrderStop, "a", 1, ""), order(infra.OrderForget, "a", 1, ""))
	exchange(t, w, at(0), order(infra.OrderStart, "b", 2, ""))
	runs := exchange(t, w, at(1), order(infra.OrderStart, "a", 1, ""), order(infra.OrderStart, "b", 1, ""))
	for _, job := range []string{"a", "b"} {
		if got := runs[infra.RunID{Job: job, Epoch: 1}]; got.State != infra.RunRefused {
			t.Errorf("run of %s: %+v, want refused", job, got)
		}
	}
}

func TestWorkerFencesLowerOwners(t *testing.T) {
	w := newWorker()
	_, _ = w.ExchangeAt(at(0), infra.Exchange{OwnerEpoch: 2, LeaseMS: 5000})
	reply, _ := w.ExchangeAt(at(1), infra.Exchange{
		OwnerEpoch: 1, LeaseMS: 9000, Orders: []infra.Order{order(infra.OrderStart, "a", 1, "")},
	})
	if !reply.Refused || len(w.Runs()) != 0 {
		t.Errorf("reply %+v, runs %v", reply, w.Runs())
	}
}

// TestWorkerRefusesStartsForAnotherIncarnation checks that a start isn't executed if it
// arrives after a restart, after its validity or without an incarnation.
func TestWorkerRefusesStartsForAnotherIncarnation(t *testing.T) {
	for name, invalidate := range map[string]func(*standin.Worker, *infra.Exchange) int64{
		"restarted": func(w *standin.Worker, _ *infra.Exchange) int64 {
			w.SetAt(at(1), standin.WorkerFaults{Dead: true})
			w.SetAt(at(2), standin.WorkerFaults{})
			return 3
		},
		"late":    func(*standin.Worker, *infra.Exchange) int64 { return 1001 },
		"unnamed": func(_ *standin.Worker, x *infra.Exchange) int64 { x.Incarnation = ""; return 1 },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorker()
			x := withIncarnation(t, w, at(0), infra.Exchange{
				OwnerEpoch: 1, LeaseMS: 5000, Orders: []infra.Order{order(infra.OrderStart, "a", 1, "")},
			})
			reply, _ := w.ExchangeAt(at(invalidate(w, &x)), x)
			if !reply.Stale || len(w.Runs()) != 0 {
				t.Errorf("reply %+v, runs %v", reply, w.Runs())
			}
			again, _ := w.ExchangeAt(at(1002), withIncarnation(t, w, at(1002), x))
			if again.Stale || len(w.Runs()) != 1 {
				t.Errorf("exchange for the current incarnation: reply %+v, runs %v, want one run", again, w.Runs())
			}
		})
	}
}

func TestWorkerResumesFromCheckpoint(t *testing.T) {
	w := newWorker()
	exchange(t, w, at(0), order(infra.OrderStart, "a", 1, ""))
	runs := exchange(t, w, at(400), order(infra.OrderCheckpoint, "a", 1, ""))
	stopped := runs[infra.RunID{Job: "a", Epoch: 1}]
	if stopped.State != infra.RunStopped || stopped.Checkpoint == "" {
		t.Fatalf("run after the checkpoint order: %+v, want stopped with a checkpoint", stopped)
	}
	again := order(infra.OrderStart, "a", 2, "")
	again.Checkpoint = stopped.Checkpoint
	exchange(t, w, at(500), again)
	runs = exchange(t, w, at(1101))
	if got := runs[infra.RunID{Job: "a", Epoch: 2}]; got.State != infra.RunDone {
		t.Errorf("resumed run: %+v, want done", got)
	}
}

func TestWorkerReportsChangesMemoryKillsAndSlowdown(t *testing.T) {
	w := newWorker()
	first, _ := w.ExchangeAt(at(0), withIncarnation(t, w, at(0), infra.Exchange{
		OwnerEpoch: 1, LeaseMS: 5000,
		Orders: []infra.Order{order(infra.OrderStart, "v", 1, "victim"), order(infra.OrderStart, "n", 1, "noisy")},
	}))
	none, _ := w.ExchangeAt(at(0), infra.Exchange{OwnerEpoch: 1, LeaseMS: 5000, Since: first.Seq})
	if none.FullList || len(none.Runs) != 0 {
		t.Errorf("reply without changes: %+v, want no runs", none)
	}
	runs := exchange(t, w, at(1001), order(infra.OrderStart, "big", 1, "big"))
	if got := runs[infra.RunID{Job: "v", Epoch: 1}]; got.State != infra.RunRunning {
		t.Errorf("run of the victim class: %+v, want running: slowed by the noisy class", got)
	}
	if got := runs[infra.RunID{Job: "n", Epoch: 1}]; got.State != infra.RunDone {
		t.Errorf("run of the noisy class: %+v, want done", got)
	}
	if got := runs[infra.RunID{Job: "big", Epoch: 1}]; got.State != infra.RunKilled {
		t.Errorf("run above its memory reservation: %+v, want killed", got)
	}
}
