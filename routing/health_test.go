package routing

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/ownership"
)

// TestLatencyOutlierIgnoresUnmeasured checks that latency outliers are found
// among the measured endpoints only: a host that owns a few shards measures
// only some of a service's endpoints.
func TestLatencyOutlierIgnoresUnmeasured(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name      string
		latencies map[string]time.Duration
		want      string // the endpoint to be ejected; empty for none
	}{
		{"all alike", map[string]time.Duration{"a": 500 * ms, "b": 450 * ms, "c": 480 * ms}, ""},
		{"only one", map[string]time.Duration{"a": 500 * ms}, ""},
		{"one slow", map[string]time.Duration{"a": 20 * ms, "b": 1000 * ms, "c": 25 * ms}, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPool(testEndpoint("a", 4), testEndpoint("b", 4), testEndpoint("c", 4), testEndpoint("d", 4), testEndpoint("e", 4), testEndpoint("f", 4))
			ejected := ""
			for range 2 * minSamples {
				for _, name := range []string{"a", "b", "c"} {
					latency, ok := c.latencies[name]
					if !ok {
						continue
					}
					s := p.Acquire(t0, "s", grants(ownership.Full, ownership.Full, t0.Add(time.Hour), name), rng())
					if s == nil {
						continue
					}
					if p.Observe(t0, s, Result{Sent: true, Latency: latency}) {
						ejected = name
					}
					p.WriteDone(s)
					p.Release(s)
				}
			}
			if ejected != c.want {
				t.Errorf("ejected %q, want %q", ejected, c.want)
			}
		})
	}
}
