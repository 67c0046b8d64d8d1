package standin_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/platform"
	"github.com/fireflygate/fireflygate/standin"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(ms int64) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func newWorker() *standin.Worker {
	return standin.NewWorker(standin.WorkerConfig{
		Name:     "w",
		Capacity: platform.Resources{MilliCPU: 4000, MemoryMB: 1000},
		Behaviour: standin.Behaviour{
			Size:     map[string]float64{"big": 3},
			Slowdown: map[string]map[string]float64{"victim": {"noisy": 1}},
		},
	}, epoch)
}

func order(kind platform.OrderKind, job string, epoch uint64, class string) platform.Order {
	return platform.Order{
		Kind: kind, Run: platform.RunID{Job: job, Epoch: epoch}, Class: class, WorkMS: 1000,
		Resources: platform.Resources{MilliCPU: 2000, MemoryMB: 300},
	}
}

// named has an exchange name the worker's life and be valid for a second.
func named(t *testing.T, w *standin.Worker, now time.Time, x platform.Exchange) platform.Exchange {
	t.Helper()
	reply, err := w.ExchangeAt(now, platform.Exchange{Owner: x.Owner, LeaseMS: x.LeaseMS})
	if err != nil {
		t.Fatal(err)
	}
	x.Incarnation, x.ValidUntilMS = reply.Incarnation, reply.ClockMS+1000
	return x
}

// exchange sends orders of owner 1 with a lease of 5 s and returns the list.
func exchange(t *testing.T, w *standin.Worker, now time.Time, orders ...platform.Order) map[platform.RunID]platform.RunReport {
	t.Helper()
	reply, err := w.ExchangeAt(now, named(t, w, now, platform.Exchange{Owner: 1, LeaseMS: 5000, Orders: orders}))
	if err != nil || reply.Refused || !reply.Whole {
		t.Fatalf("reply %+v: %v", reply, err)
	}
	runs := map[platform.RunID]platform.RunReport{}
	for _, r := range reply.Runs {
		runs[r.Run] = r
	}
	return runs
}

func TestWorkerRunsToTheEndAndLeaseLapses(t *testing.T) {
	w := newWorker()
	exchange(t, w, at(0), order(platform.OrderStart, "a", 1, ""))
	runs := exchange(t, w, at(1001), order(platform.OrderStart, "b", 1, ""))
	if got := runs[platform.RunID{Job: "a", Epoch: 1}]; got.State != platform.RunDone {
		t.Errorf("a: %+v", got)
	}
	w.SetAt(at(1500), standin.WorkerFaults{Paused: true})
	w.SetAt(at(9000), standin.WorkerFaults{})
	runs = exchange(t, w, at(9001))
	if got := runs[platform.RunID{Job: "b", Epoch: 1}]; got.State != platform.RunExpired || got.DoneMS > 500 {
		t.Errorf("b: %+v", got)
	}
}

func TestWorkerRefusesLateStarts(t *testing.T) {
	w := newWorker()
	exchange(t, w, at(0), order(platform.OrderStop, "a", 1, ""), order(platform.OrderForget, "a", 1, ""))
	exchange(t, w, at(0), order(platform.OrderStart, "b", 2, ""))
	runs := exchange(t, w, at(1), order(platform.OrderStart, "a", 1, ""), order(platform.OrderStart, "b", 1, ""))
	for _, job := range []string{"a", "b"} {
		if got := runs[platform.RunID{Job: job, Epoch: 1}]; got.State != platform.RunRefused {
			t.Errorf("%s: %+v", job, got)
		}
	}
}

func TestWorkerFencesLowerOwners(t *testing.T) {
	w := newWorker()
	_, _ = w.ExchangeAt(at(0), platform.Exchange{Owner: 2, LeaseMS: 5000})
	reply, _ := w.ExchangeAt(at(1), platform.Exchange{
		Owner: 1, LeaseMS: 9000, Orders: []platform.Order{order(platform.OrderStart, "a", 1, "")},
	})
	if !reply.Refused || len(w.Runs()) != 0 {
		t.Errorf("reply %+v, runs %v", reply, w.Runs())
	}
}

// TestWorkerRefusesStartsForAnotherLife delivers one exchange with a start
// again, late or to a life of the worker that remembers nothing.
func TestWorkerRefusesStartsForAnotherLife(t *testing.T) {
	for name, spoil := range map[string]func(*standin.Worker, *platform.Exchange) int64{
		"restarted": func(w *standin.Worker, _ *platform.Exchange) int64 {
			w.SetAt(at(1), standin.WorkerFaults{Dead: true})
			w.SetAt(at(2), standin.WorkerFaults{})
			return 3
		},
		"late":    func(*standin.Worker, *platform.Exchange) int64 { return 1001 },
		"unnamed": func(_ *standin.Worker, x *platform.Exchange) int64 { x.Incarnation = ""; return 1 },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorker()
			x := named(t, w, at(0), platform.Exchange{
				Owner: 1, LeaseMS: 5000, Orders: []platform.Order{order(platform.OrderStart, "a", 1, "")},
			})
			reply, _ := w.ExchangeAt(at(spoil(w, &x)), x)
			if !reply.Stale || len(w.Runs()) != 0 {
				t.Errorf("reply %+v, runs %v", reply, w.Runs())
			}
			again, _ := w.ExchangeAt(at(1002), named(t, w, at(1002), x))
			if again.Stale || len(w.Runs()) != 1 {
				t.Errorf("made again: reply %+v, runs %v", again, w.Runs())
			}
		})
	}
}

func TestWorkerResumesFromCheckpoint(t *testing.T) {
	w := newWorker()
	exchange(t, w, at(0), order(platform.OrderStart, "a", 1, ""))
	runs := exchange(t, w, at(400), order(platform.OrderCheckpoint, "a", 1, ""))
	stopped := runs[platform.RunID{Job: "a", Epoch: 1}]
	if stopped.State != platform.RunStopped || stopped.Checkpoint == "" {
		t.Fatalf("stopped: %+v", stopped)
	}
	again := order(platform.OrderStart, "a", 2, "")
	again.Checkpoint = stopped.Checkpoint
	exchange(t, w, at(500), again)
	runs = exchange(t, w, at(1101))
	if got := runs[platform.RunID{Job: "a", Epoch: 2}]; got.State != platform.RunDone {
		t.Errorf("resumed: %+v", got)
	}
}

func TestWorkerDiffsGuardAndSlowdown(t *testing.T) {
	w := newWorker()
	first, _ := w.ExchangeAt(at(0), named(t, w, at(0), platform.Exchange{
		Owner: 1, LeaseMS: 5000,
		Orders: []platform.Order{order(platform.OrderStart, "v", 1, "victim"), order(platform.OrderStart, "n", 1, "noisy")},
	}))
	none, _ := w.ExchangeAt(at(0), platform.Exchange{Owner: 1, LeaseMS: 5000, Since: first.Seq})
	if none.Whole || len(none.Runs) != 0 {
		t.Errorf("no change: %+v", none)
	}
	runs := exchange(t, w, at(1001), order(platform.OrderStart, "big", 1, "big"))
	if got := runs[platform.RunID{Job: "v", Epoch: 1}]; got.State != platform.RunRunning {
		t.Errorf("victim next to noisy ended as if alone: %+v", got)
	}
	if got := runs[platform.RunID{Job: "n", Epoch: 1}]; got.State != platform.RunDone {
		t.Errorf("noisy: %+v", got)
	}
	if got := runs[platform.RunID{Job: "big", Epoch: 1}]; got.State != platform.RunKilled {
		t.Errorf("big: %+v", got)
	}
}
