package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflygate/fireflygate/ownership"
)

// BenchmarkChoice simulates eight endpoints of 8 slots at about half load, one
// of which is ten times slower than the others or fails every request
// immediately. It compares the pool's choice with a random choice among the
// free endpoints.
func BenchmarkChoice(b *testing.B) {
	for _, c := range []struct {
		name string
		bad  Result
	}{
		{"slow", Result{Latency: 100 * time.Millisecond, Sent: true}},
		{"failing", Result{Latency: 100 * time.Microsecond, Sent: true, Failed: true}},
	} {
		for _, random := range []bool{false, true} {
			name := c.name + "/pool"
			if random {
				name = c.name + "/random"
			}
			b.Run(name, func(b *testing.B) {
				for range b.N {
					simulateChoice(b, c.bad, random)
				}
			})
		}
	}
}

// busySlot is a slot in use until a given time.
type busySlot struct {
	slot   *Slot
	until  time.Time
	result Result
}

func simulateChoice(b *testing.B, bad Result, random bool) {
	b.Helper()
	names := []string{"bad", "a", "b", "c", "d", "e", "f", "g"}
	var list []Endpoint
	for _, n := range names {
		list = append(list, testEndpoint(n, 8))
	}
	p := newPool(list...)
	snapshot := grants(ownership.Full, ownership.Full, t0, names...)
	r := rand.New(rand.NewPCG(3, 0))
	took := hdrhistogram.New(1, 10_000_000, 3)
	failures, requests := 0, 0
	var running []busySlot
	const step, duration = 300 * time.Microsecond, 20 * time.Second
	for now := t0; now.Before(t0.Add(duration)); now = now.Add(step) {
		kept := running[:0]
		for _, h := range running {
			if now.Before(h.until) {
				kept = append(kept, h)
				continue
			}
			if !random {
				p.Observe(now, h.slot, h.result)
			}
			p.Release(h.slot)
		}
		running = kept
		s := choose(p, now, snapshot, r, random)
		if s == nil {
			continue
		}
		requests++
		p.WriteDone(s)
		result := Result{Latency: time.Duration(5+r.IntN(11)) * time.Millisecond, Sent: true}
		if s.Endpoint().Name == "bad" {
			result = bad
		}
		if result.Failed {
			failures++
		}
		_ = took.RecordValue(result.Latency.Microseconds())
		running = append(running, busySlot{s, now.Add(result.Latency), result})
	}
	b.ReportMetric(float64(failures)/float64(requests), "failed/request")
	b.ReportMetric(float64(took.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(took.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(took.Mean()/1000, "mean-ms")
}

// choose acquires a slot, by the pool's choice or of a random free endpoint.
func choose(p *Pool, now time.Time, snapshot *ownership.Snapshot, r *rand.Rand, random bool) *Slot {
	if !random {
		return p.Acquire(now, "s", snapshot, r)
	}
	var free []*backend
	for _, b := range p.services["s"].backends {
		if _, n := p.available(now, b, snapshot); n > 0 {
			free = append(free, b)
		}
	}
	if len(free) == 0 {
		return nil
	}
	b := free[r.IntN(len(free))]
	b.inUse++
	b.writing++
	return &Slot{backend: b, life: b.life, writing: true}
}
