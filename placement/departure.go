package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/task"
)

// maxDepartures bounds the ended runs kept per node.
const maxDepartures = 32

// departure is an ended batch run, kept while delayed reports cover the time
// when it ran.
type departure struct {
	class    string
	milliCPU int64
	from     time.Time
	until    time.Time
}

// recordDeparture records an ended run and drops those that ended before the
// retention.
func (n *node) recordDeparture(r *run, now time.Time, retention time.Duration) {
	if n.monitor == nil || r.spec.QoS == task.LatencyCritical {
		return
	}
	kept := n.departures[:0]
	for _, d := range n.departures {
		if now.Sub(d.until) <= retention {
			kept = append(kept, d)
		}
	}
	if len(kept) == maxDepartures {
		kept = kept[:copy(kept, kept[1:])]
	}
	n.departures = append(kept, departure{
		class:    r.spec.Class,
		milliCPU: r.milliCPU(),
		from:     r.started,
		until:    now,
	})
}

// departureRetention is how long delayed reports may cover an ended run.
func (s *Scheduler) departureRetention() time.Duration {
	return 4 * s.options.Colocation.UsageLag.D()
}
