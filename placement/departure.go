package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/task"
)

// maxDepartures bounds the ended runs remembered for a node.
const maxDepartures = 32

// departure is a batch run that ended, kept while lagged reports still tell of
// the time when it ran.
type departure struct {
	class    string
	milliCPU int64
	from     time.Time
	until    time.Time
}

// depart remembers a run that ended and forgets those that ended before
// memory ago.
func (n *node) depart(r *run, now time.Time, memory time.Duration) {
	if n.watch == nil || r.spec.QoS == task.LatencyCritical {
		return
	}
	kept := n.departed[:0]
	for _, d := range n.departed {
		if now.Sub(d.until) <= memory {
			kept = append(kept, d)
		}
	}
	if len(kept) == maxDepartures {
		kept = kept[:copy(kept, kept[1:])]
	}
	n.departed = append(kept, departure{
		class:    r.spec.Class,
		milliCPU: r.milliCPU(),
		from:     r.started,
		until:    now,
	})
}

// memory is how long lagged reports may tell of an ended run.
func (s *Scheduler) memory() time.Duration {
	return 4 * s.options.Colocation.UsageLag.D()
}
