package routing

import (
	"testing"

	"github.com/fireflygate/fireflygate/ownership"
)

// TestClosedZoneGetsNoRequests checks that endpoints of a closed zone are never chosen,
// that a slot taken before isn't written to, and that they are used again once the zone
// is open.
func TestClosedZoneGetsNoRequests(t *testing.T) {
	near, far := testEndpoint("near", 2), testEndpoint("far", 2)
	near.Zone, far.Zone = "z", "y"
	p := newPool(near, far)
	snapshot := grants(ownership.Full, ownership.Full, t0, "near", "far")
	var taken *Slot
	for taken == nil || taken.Endpoint().Name != "near" {
		if taken = p.Acquire(t0, "s", snapshot, rng()); taken == nil {
			t.Fatal("no slot before the zone is closed")
		}
	}
	before, _ := p.Rate(t0, "s", snapshot)
	p.SetClosedZones([]string{"z"})
	if p.MayWrite(t0, taken, snapshot) {
		t.Error("a request may be written to an endpoint of the closed zone")
	}
	if rate, _ := p.Rate(t0, "s", snapshot); rate >= before {
		t.Errorf("rate %v with a closed zone, want less than %v", rate, before)
	}
	for s := p.Acquire(t0, "s", snapshot, rng()); s != nil; s = p.Acquire(t0, "s", snapshot, rng()) {
		if s.Endpoint().Zone == "z" {
			t.Error("an endpoint of the closed zone was chosen")
		}
	}
	if p.AllClosed("s") {
		t.Error("all zones count as closed, one is open")
	}
	p.SetClosedZones([]string{"y", "z"})
	if !p.AllClosed("s") || p.AllClosed("other") {
		t.Error("want all zones closed for the service with endpoints, and only for it")
	}
	p.SetClosedZones(nil)
	if !p.MayWrite(t0, taken, snapshot) {
		t.Error("the slot in the opened zone may not be written to")
	}
	p.Release(taken)
	if s := p.Acquire(t0, "s", snapshot, rng()); s == nil || s.Endpoint().Name != "near" {
		t.Errorf("got %v, want the endpoint of the opened zone", s)
	}
}
