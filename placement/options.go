package placement

import (
	"cmp"
	"time"

	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/settings"
)

// Options configures a Scheduler. The zero value places by resources alone.
type Options struct {
	// Seed starts the random choice among candidates: the same seed and the
	// same calls give the same plans.
	Seed uint64
	// Headroom is the share of each host's processors kept free of batch.
	Headroom float64
	// Teams are the teams' weights and quotas by name.
	Teams map[string]settings.Team
	// Events are the named starts by name.
	Events map[string]settings.Event
	// Colocation tunes throttling and eviction.
	Colocation settings.Colocation
	// ObjectivesMS is the tail latency that each latency-critical class
	// must keep, in milliseconds.
	ObjectivesMS map[string]float64
	// TailMargin is by how much below their objectives latency-critical
	// classes should stay, as a logarithm; 0 for
	// interference.DefaultMargin. A larger one buys tail latency with batch
	// throughput.
	TailMargin float64
}

func (o Options) tailMargin() float64 { return cmp.Or(o.TailMargin, interference.DefaultMargin) }

// exploreInterval is how long a trial is given.
func (o Options) exploreInterval() time.Duration { return exploreLags * o.Colocation.UsageLag.D() }
