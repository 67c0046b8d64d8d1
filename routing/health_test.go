package routing

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/ownership"
)

// TestOutlierAmongMeasured lets a host measure some of a service's endpoints,
// as the owner of a few shards does, with the latencies given.
func TestOutlierAmongMeasured(t *testing.T) {
	const ms = time.Millisecond
	for _, one := range []struct {
		name string
		own  map[string]time.Duration
		want string // the endpoint that is ejected
	}{
		{"all alike", map[string]time.Duration{"a": 500 * ms, "b": 450 * ms, "c": 480 * ms}, ""},
		{"only one", map[string]time.Duration{"a": 500 * ms}, ""},
		{"one slow", map[string]time.Duration{"a": 20 * ms, "b": 1000 * ms, "c": 25 * ms}, "b"},
	} {
		t.Run(one.name, func(t *testing.T) {
			p := newPool(ep("a", 4), ep("b", 4), ep("c", 4), ep("d", 4), ep("e", 4), ep("f", 4))
			ejected := ""
			for range 2 * minSamples {
				for _, name := range []string{"a", "b", "c"} {
					latency, ok := one.own[name]
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
			if ejected != one.want {
				t.Errorf("ejected %q, want %q", ejected, one.want)
			}
		})
	}
}
