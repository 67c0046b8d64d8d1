package placement

import (
	"cmp"
	"time"

	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/settings"
)

// Options configures a Scheduler. The zero value places by resources alone.
type Options struct {
	// Seed seeds the random choice of candidates. The same seed and the same
	// calls give the same plans.
	Seed uint64
	// Headroom is the share of each host's processors kept free of batch jobs.
	Headroom float64
	// Teams holds the weights and quotas by team name.
	Teams map[string]settings.Team
	// Events holds the events by name.
	Events map[string]settings.Event
	// Colocation configures throttling and eviction.
	Colocation settings.Colocation
	// ObjectivesMS is the largest tail latency of each latency-critical class,
	// in milliseconds.
	ObjectivesMS map[string]float64
	// TailMargin is how far the logarithms of latencies should stay below
	// those of the objectives; 0 means interference.DefaultMargin. A larger
	// margin improves tail latency at the cost of batch throughput.
	TailMargin float64
}

func (o Options) tailMargin() float64 { return cmp.Or(o.TailMargin, interference.DefaultMargin) }

// exploreInterval returns the length of a trial.
func (o Options) exploreInterval() time.Duration { return exploreLags * o.Colocation.UsageLag.D() }
