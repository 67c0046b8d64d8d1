package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// TestRosterHoldsAddressOfOrders guards against a later owner that asks another worker for the
// runs of this one, and takes them for over by its answer (421): the entry of a worker that had
// not reported yet got another address, which the durable roster didn't hold.
func TestRosterHoldsAddressOfOrders(t *testing.T) {
	r := &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}}
	r.startedAt = r.now
	r.startOwner(1)
	r.state.SetMembers(r.now, []runner.Worker{workerInfo(worker(0))})
	inFlight, err := r.state.Flush(r.now, 98)
	if err != nil {
		t.Fatal(err)
	}
	moved := workerInfo(worker(0))
	moved.Address = "10.0.0.9:80"
	r.state.SetMembers(r.now, []runner.Worker{moved})
	r.apply(inFlight) // with the old address
	polled := false
	r.state.EachWorker("", func(string) bool { polled = true; return true })
	if polled {
		t.Error("the worker gets orders at an address that isn't durable")
	}
	r.flush()
	r.report(worker(0), nil, nil)
	r.flush()
	for key, value := range r.rows {
		var row dispatch.RosterRow
		if !strings.HasPrefix(key, dispatch.RosterPrefix) {
			continue
		}
		if err := msgpack.Unmarshal(value, &row); err != nil {
			t.Fatal(err)
		}
		if len(row.Workers) != 1 || row.Workers[0].Address != moved.Address {
			t.Errorf("the roster holds %+v, want the address %s", row.Workers, moved.Address)
		}
	}
}
