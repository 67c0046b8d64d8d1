package standin_test

import (
	"fmt"
	"testing"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/standin"
)

// TestRestartedWorkerStartsItsCountsAnew guards against a stand-in whose lives can be told
// apart by their numbers: an owner that compares those of two lives would never fail here.
func TestRestartedWorkerStartsItsCountsAnew(t *testing.T) {
	w := newWorker()
	start := order(infra.OrderStart, "a", 1, "")
	before, _ := w.ExchangeAt(at(500), withIncarnation(t, w, at(500), infra.Exchange{OwnerEpoch: 7, LeaseMS: 5000, Orders: []infra.Order{start}}))
	w.RestartAt(at(600))
	after, err := w.ExchangeAt(at(700), infra.Exchange{OwnerEpoch: 1, LeaseMS: 5000})
	if err != nil || after.Refused || len(after.Runs) != 0 {
		t.Fatalf("after the restart: %+v, %v: want no runs and no token of before", after, err)
	}
	if after.Incarnation == before.Incarnation || after.Seq != 0 || after.ClockMS != 100 {
		t.Errorf("after the restart: %+v, before: %+v: want another incarnation, sequence 0 and 100 ms on the clock", after, before)
	}
	runs := exchange(t, w, at(700), start)
	if got := runs[infra.RunID{Job: "a", Epoch: 1}]; got.State != infra.RunRunning {
		t.Errorf("a start of before is %+v, want running: nothing of it is known", got)
	}
}

// TestWorkerListsRunsInAnyOrder guards against owners that rely on the order of a list.
func TestWorkerListsRunsInAnyOrder(t *testing.T) {
	w := newWorker()
	w.SetAt(at(0), standin.WorkerFaults{AnyOrder: true})
	var orders []infra.Order
	for i := range 4 {
		orders = append(orders, order(infra.OrderStart, fmt.Sprint(i), 1, ""))
	}
	exchange(t, w, at(0), orders...)
	first := map[string]bool{}
	for range 100 {
		first[w.Runs()[0].Run.Job] = true
	}
	if len(first) != len(orders) {
		t.Errorf("%d of %d runs were listed first", len(first), len(orders))
	}
}
