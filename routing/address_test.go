package routing

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/ownership"
)

// movedEndpoint returns an endpoint at an address.
func movedEndpoint(name, address string, slots int) Endpoint {
	e := testEndpoint(name, slots)
	e.Address = address
	return e
}

// TestAddressBeginsAnotherLife guards against an endpoint that is judged by the machine that
// had its name before: after a change of address neither its ejection nor its latency
// counts, and the new machine, which is cold, is in slow start.
func TestAddressBeginsAnotherLife(t *testing.T) {
	const slots = 10
	other, third := movedEndpoint("b", "b", slots), movedEndpoint("c", "c", slots)
	p := newPool(movedEndpoint("a", "a1", slots), other, third)
	snapshot := grants(ownership.Full, ownership.Full, t0, "a")
	s := p.Acquire(t0, "s", snapshot, rng())
	for range p.cfg.EjectAfter {
		p.Observe(t0, s, Result{Sent: true, Failed: true})
	}
	if p.Acquire(t0, "s", snapshot, rng()) != nil {
		t.Fatal("the endpoint isn't ejected after its failures")
	}
	p.Release(s)
	p.SetEndpoints(t0, []Endpoint{movedEndpoint("a", "a2", slots), other, third})
	now := t0.Add(p.cfg.SlowStart / 2)
	taken := 0
	for s = p.Acquire(now, "s", snapshot, rng()); s != nil; s = p.Acquire(now, "s", snapshot, rng()) {
		p.WriteDone(s)
		taken++
	}
	if taken != slots/2 {
		t.Errorf("%d requests at once at the new address halfway through its slow start, want %d", taken, slots/2)
	}
}

// TestResultsOfTheAddressBefore guards against an endpoint that is ejected for failures of
// the machine that had its name before.
func TestResultsOfTheAddressBefore(t *testing.T) {
	const slots = 10
	other, third := movedEndpoint("b", "b", slots), movedEndpoint("c", "c", slots)
	p := newPool(movedEndpoint("a", "a1", slots), other, third)
	snapshot := grants(ownership.Full, ownership.Full, t0, "a")
	s := p.Acquire(t0, "s", snapshot, rng())
	p.SetEndpoints(t0, []Endpoint{movedEndpoint("a", "a2", slots), other, third})
	for range p.cfg.EjectAfter {
		if p.Observe(t0.Add(time.Second), s, Result{Sent: true, Failed: true}) {
			t.Error("the new machine is ejected for failures at the address before")
		}
	}
	if p.Release(s); p.byName["a"].inUse != 0 {
		t.Errorf("%d slots in use after the last was released", p.byName["a"].inUse)
	}
}
