package routing

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/ownership"
)

// trafficShare returns the share of 2000 requests that go to endpoint "bad",
// all of whose results are the given one. The other endpoints take 10 ms.
// Ejection is disabled, so that only the choice by score limits the traffic.
func trafficShare(t *testing.T, bad Result) float64 {
	t.Helper()
	names := []string{"bad", "a", "b", "c", "d", "e", "f", "g"}
	var list []Endpoint
	for _, n := range names {
		list = append(list, testEndpoint(n, 8))
	}
	p := newPool(list...)
	p.cfg.MaxEjected = 0
	snapshot := grants(ownership.Full, ownership.Full, t0, names...)
	now, r, hits := t0, rng(), 0
	const n = 2000
	for range n {
		s := p.Acquire(now, "s", snapshot, r)
		p.WriteDone(s)
		result := Result{Latency: 10 * time.Millisecond, Sent: true}
		if s.Endpoint().Name == "bad" {
			hits++
			result = bad
		}
		p.Observe(now, s, result)
		p.Release(s)
		now = now.Add(5 * time.Millisecond)
	}
	return float64(hits) / n
}

func TestFastFailingEndpointGetsLittleTraffic(t *testing.T) {
	got := trafficShare(t, Result{Latency: 10 * time.Microsecond, Sent: true, Failed: true})
	if got > 0.02 {
		t.Errorf("endpoint that fails fast got %.3f of the requests, want at most 0.02; an even share is 0.125", got)
	}
}

func TestSlowEndpointGetsLess(t *testing.T) {
	got := trafficShare(t, Result{Latency: 100 * time.Millisecond, Sent: true})
	if got > 0.04 {
		t.Errorf("endpoint that is ten times slower got %.3f of the requests, want at most 0.04", got)
	}
}

func TestPeers(t *testing.T) {
	p := NewPeers("z1")
	p.Update(t0, "near", "z1", map[string]int{"s": 1}, true)
	p.Update(t0, "far", "z2", map[string]int{"s": 2}, true)
	choose := func(now time.Time, exclude ...string) string {
		name, _ := p.Choose(now, "s", rng(), exclude)
		return name
	}
	if got := choose(t0); got != "near" {
		t.Errorf("chose %q, want the peer in the same zone", got)
	}
	if got := choose(t0); got != "far" {
		t.Errorf("chose %q, want the remaining peer with free slots", got)
	}
	if got := choose(t0, "far"); got != "" {
		t.Errorf("chose %q although it is excluded", got)
	}
	p.SetFree("near", "s", 3)
	if got := choose(t0); got != "near" {
		t.Errorf("chose %q, want the peer with the updated number of free slots", got)
	}
	if got := choose(t0.Add(digestTTL + 1)); got != "" {
		t.Errorf("chose %q by an expired digest", got)
	}
}

func TestBudget(t *testing.T) {
	b := NewRetryBudget(0.1)
	retries := 0
	for range 1000 {
		b.AddRequest()
		for b.TakeRetry() {
			retries++
		}
	}
	if retries < 95 || retries > 100 {
		t.Errorf("%d retries of 1000 requests, want 95 to 100", retries)
	}
}
