package routing

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/ownership"
)

// shareOf returns the part of 2000 choices that go to endpoint "bad", whose
// result is given; the others take 10 ms. Nothing is ejected, so that only the
// choice keeps traffic away.
func shareOf(t *testing.T, bad Result) float64 {
	t.Helper()
	names := []string{"bad", "a", "b", "c", "d", "e", "f", "g"}
	var list []Endpoint
	for _, n := range names {
		list = append(list, ep(n, 8))
	}
	p := newPool(list...)
	p.cfg.MaxEjected = 0
	view := grants(ownership.Full, ownership.Full, t0, names...)
	now, r, hits := t0, rng(), 0
	const n = 2000
	for range n {
		s := p.Acquire(now, "s", view, r)
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

func TestFailingFastDrawsNoTraffic(t *testing.T) {
	got := shareOf(t, Result{Latency: 10 * time.Microsecond, Sent: true, Failed: true})
	if got > 0.02 {
		t.Errorf("endpoint that fails fast got %.3f of the requests; an even share is 0.125", got)
	}
}

func TestSlowEndpointGetsLess(t *testing.T) {
	got := shareOf(t, Result{Latency: 100 * time.Millisecond, Sent: true})
	if got > 0.04 {
		t.Errorf("endpoint that is ten times slower got %.3f of the requests", got)
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
		t.Errorf("chose %q, want the same zone", got)
	}
	if got := choose(t0); got != "far" {
		t.Errorf("chose %q, want the one that is left", got)
	}
	if got := choose(t0, "far"); got != "" {
		t.Errorf("chose %q though it was asked before", got)
	}
	p.SetFree("near", "s", 3)
	if got := choose(t0); got != "near" {
		t.Errorf("chose %q, want the corrected one", got)
	}
	if got := choose(t0.Add(digestLife + 1)); got != "" {
		t.Errorf("chose %q by a digest that is too old", got)
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
		t.Errorf("%d retries of 1000 requests, want a tenth", retries)
	}
}
