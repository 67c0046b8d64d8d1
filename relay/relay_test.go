package relay_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/relay"
)

// hosts returns n hosts in each of the zones, every third of them strong.
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

// usable allows every host.
func usable(string) bool { return true }

// TestTableSpreadsWorkers gives each relay of a zone its share of the workers
// there, the strong hosts first, and none those of another zone.
func TestTableSpreadsWorkers(t *testing.T) {
	table := relay.NewTable(hosts(9, "a", "b"), 3)
	if got, want := table.Addresses(), []string{"a-0", "a-3", "a-6", "b-0", "b-3", "b-6"}; !slices.Equal(got, want) {
		t.Fatalf("relays %v, want the strong hosts %v", got, want)
	}
	share := map[string]int{}
	for i := range 900 {
		share[table.RelayFor(fmt.Sprint("w", i), "a", usable)]++
	}
	for _, address := range []string{"a-0", "a-3", "a-6"} {
		if n := share[address]; n < 200 || n > 400 {
			t.Errorf("%s carries %d of 900 workers, want about a third", address, n)
		}
	}
	if got := table.RelayFor("w", "c", usable); got != "" {
		t.Errorf("a worker of a zone without hosts goes through %s", got)
	}
}

// TestTableMovesFew moves only the workers of a relay that is lost or avoided.
func TestTableMovesFew(t *testing.T) {
	all := hosts(9, "a")
	before, after := relay.NewTable(all, 9), relay.NewTable(all[:8], 9)
	for i := range 500 {
		w := fmt.Sprint("w", i)
		was := before.RelayFor(w, "a", usable)
		if is := after.RelayFor(w, "a", usable); is != was && was != "a-8" {
			t.Errorf("%s moved from %s to %s", w, was, is)
		}
		if is := before.RelayFor(w, "a", func(a string) bool { return a != "a-8" }); is != after.RelayFor(w, "a", usable) {
			t.Errorf("%s goes through %s if a-8 is avoided, %s if it is gone", w, is, after.RelayFor(w, "a", usable))
		}
	}
}

// TestDemandFollowsLoad keeps a small domain without relays, asks for more while
// the owner is pressed, and gives them up once its load is gone, not before.
func TestDemandFollowsLoad(t *testing.T) {
	const ms = time.Millisecond
	var small relay.Scaler
	for i := range 100 {
		if n := small.Observe(relay.Load{Workers: 48, Orders: 300, RoundTrip: 5 * ms, HeldBack: i%10 == 0}); n != 0 {
			t.Fatalf("%d relays for a small domain with a burst now and then", n)
		}
	}
	var next relay.Scaler
	next.Restore(4)
	if n := next.Observe(relay.Load{Workers: 48, Orders: 300}); n != 4 {
		t.Errorf("%d relays a zone after a change of owner, want the 4 there were", n)
	}
	var large relay.Scaler
	if n := large.Observe(relay.Load{Workers: 890, RoundTrip: 5 * ms}); n != 1 {
		t.Errorf("%d relays a zone for 890 workers at once, want 1", n)
	}
	var d relay.Scaler
	n := 0
	for range 8 {
		n = d.Observe(relay.Load{Workers: 144, Orders: 400, RoundTrip: 100 * ms})
	}
	if n != 8 {
		t.Errorf("%d relays a zone after 8 s of pressure, want 8", n)
	}
	for range 60 {
		n = d.Observe(relay.Load{Workers: 144, Orders: 400, RoundTrip: 10 * ms})
	}
	if n != 8 {
		t.Errorf("%d relays a zone under the same load, want 8 still", n)
	}
	for range 200 {
		n = d.Observe(relay.Load{Workers: 144, Orders: 5, RoundTrip: 10 * ms})
	}
	if n != 0 {
		t.Errorf("%d relays a zone after the load has gone", n)
	}
}
