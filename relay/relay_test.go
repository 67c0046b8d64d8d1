package relay_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/relay"
)

// hosts returns n hosts in each zone; every third one has more processors.
func hosts(n int, zones ...string) []relay.Host {
	var all []relay.Host
	for _, z := range zones {
		for i := range n {
			h := relay.Host{Address: fmt.Sprintf("%s-%d", z, i), Zone: z, Cores: 0.2}
			if i%3 == 0 {
				h.Cores = 0.8
			}
			all = append(all, h)
		}
	}
	return all
}

// usable accepts every host.
func usable(string) bool { return true }

// TestTableSpreadsWorkers checks that the hosts with most processors become
// relays, share the workers of their zone evenly and get none of other zones.
func TestTableSpreadsWorkers(t *testing.T) {
	table := relay.NewTable(hosts(9, "a", "b"), 3)
	if got, want := table.Addresses(), []string{"a-0", "a-3", "a-6", "b-0", "b-3", "b-6"}; !slices.Equal(got, want) {
		t.Fatalf("relays are %v, want the hosts with most processors: %v", got, want)
	}
	share := map[string]int{}
	for i := range 900 {
		share[table.RelayFor(fmt.Sprint("w", i), "a", usable)]++
	}
	for _, address := range []string{"a-0", "a-3", "a-6"} {
		if n := share[address]; n < 200 || n > 400 {
			t.Errorf("%s relays orders for %d of 900 workers, want about a third", address, n)
		}
	}
	if got := table.RelayFor("w", "c", usable); got != "" {
		t.Errorf("relay of a worker in a zone without hosts is %s, want none", got)
	}
}

// TestTableMovesOnlyAffectedWorkers checks that removing or avoiding a relay
// moves only its own workers.
func TestTableMovesOnlyAffectedWorkers(t *testing.T) {
	all := hosts(9, "a")
	before, after := relay.NewTable(all, 9), relay.NewTable(all[:8], 9)
	for i := range 500 {
		w := fmt.Sprint("w", i)
		old := before.RelayFor(w, "a", usable)
		if got := after.RelayFor(w, "a", usable); got != old && old != "a-8" {
			t.Errorf("%s moved from %s to %s", w, old, got)
		}
		if got := before.RelayFor(w, "a", func(a string) bool { return a != "a-8" }); got != after.RelayFor(w, "a", usable) {
			t.Errorf("relay of %s is %s if a-8 is avoided, %s if it is removed", w, got, after.RelayFor(w, "a", usable))
		}
	}
}

// TestScalerFollowsLoad checks that a small domain gets no relays, an
// overloaded owner gets more, and relays are removed only after the load has
// dropped.
func TestScalerFollowsLoad(t *testing.T) {
	const ms = time.Millisecond
	var small relay.Scaler
	for i := range 100 {
		if n := small.Observe(relay.Load{Workers: 48, Orders: 300, RoundTrip: 5 * ms, StartLimitReached: i%10 == 0}); n != 0 {
			t.Fatalf("%d relays per zone for a small domain with short bursts, want 0", n)
		}
	}
	var successor relay.Scaler
	successor.Restore(4)
	if n := successor.Observe(relay.Load{Workers: 48, Orders: 300}); n != 4 {
		t.Errorf("%d relays per zone after a change of owner, want the previous owner's 4", n)
	}
	var large relay.Scaler
	if n := large.Observe(relay.Load{Workers: 890, RoundTrip: 5 * ms}); n != 1 {
		t.Errorf("%d relays per zone for 890 workers, want 1 immediately", n)
	}
	var loaded relay.Scaler
	n := 0
	for range 8 {
		n = loaded.Observe(relay.Load{Workers: 144, Orders: 400, RoundTrip: 100 * ms})
	}
	if n != 8 {
		t.Errorf("%d relays per zone after 8 s of overload, want 8", n)
	}
	for range 60 {
		n = loaded.Observe(relay.Load{Workers: 144, Orders: 400, RoundTrip: 10 * ms})
	}
	if n != 8 {
		t.Errorf("%d relays per zone under the same number of orders, want still 8", n)
	}
	for range 200 {
		n = loaded.Observe(relay.Load{Workers: 144, Orders: 5, RoundTrip: 10 * ms})
	}
	if n != 0 {
		t.Errorf("%d relays per zone after the load dropped, want 0", n)
	}
}
