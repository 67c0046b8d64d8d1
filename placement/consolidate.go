package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/task"
)

const (
	// gatherLags is the least time between two moves of latency-critical work
	// in a shard, in lags, so that the effect of one is seen before the next.
	gatherLags = 3
	// gatherInstances is how many instances a class must have for one of them
	// to be moved, so that the others carry its load meanwhile.
	gatherInstances = 8
	// gatherShare is the largest share of a host's processors given to
	// latency-critical work by gathering it, one in this many.
	gatherShare = 2
	// gatherSpread is the largest part of a class's instances gathered on one
	// host, one in this many, since a host's failure takes them all.
	gatherSpread = 4
	// gatherSources bounds the hosts looked at for work to move.
	gatherSources = 4
)

// mostGathered is how many instances of a latency-critical job's class may be
// gathered on one host; 0 if its class is none to gather.
func (s *Scheduler) mostGathered(spec task.Spec) int {
	if spec.QoS != task.LatencyCritical || s.options.ObjectivesMS[spec.Class] <= 0 {
		return 0
	}
	total := s.spread.runs[spreadKey{class: spec.Class}]
	if s.runs[spec.ID] == nil {
		total++ // the job itself
	}
	return max(1, total/gatherSpread)
}

// gathers reports whether a host is one to gather the latency-critical job on:
// some runs there already, and neither the host nor the job's class would be
// concentrated too much.
func (q *request) gathers(n *node) bool {
	if q.mostGathered == 0 || !n.hasCritical() || q.gathered(n) > 1 {
		return false
	}
	most := q.mostGathered
	for _, r := range n.runs {
		if r.spec.Class == q.spec.Class {
			most--
		}
	}
	return most > 0
}

// gathered is how full a host to gather on would be of latency-critical work, so
// that fuller ones fill up first; at most 1.
func (q *request) gathered(n *node) float64 {
	return ratio(n.critical+q.size.MilliCPU, n.host.Capacity.MilliCPU/gatherShare)
}

// gather moves one latency-critical run when batch waits because it would slow
// such work: on fewer hosts it leaves others free for the batch.
func (s *Scheduler) gather(p *plan) {
	if len(p.refused) == 0 || p.room() == 0 || p.now.Before(s.nextGather) || s.budget.Available(p.now) == 0 {
		return
	}
	s.nextGather = p.now.Add(gatherLags * s.options.Colocation.UsageLag.D())
	for _, n := range s.gatherFrom() {
		for _, r := range n.runs {
			if s.mayMove(p.now, r) && s.hasGatheringHost(r) {
				s.evict(p, r, "gathers latency-critical work")
				return
			}
		}
	}
}

// gatherFrom returns the hosts with the least latency-critical work.
func (s *Scheduler) gatherFrom() []*node {
	var serving []*node
	for _, n := range s.order {
		if n.hasCritical() {
			serving = append(serving, n)
		}
	}
	slices.SortFunc(serving, func(a, b *node) int {
		return cmp.Or(cmp.Compare(a.critical, b.critical), cmp.Compare(a.host.Name, b.host.Name))
	})
	return serving[:min(len(serving), gatherSources)]
}

// mayMove reports whether a run may be moved without harm to its class: many
// others run, none of them is on its way, and no event needs the class now.
func (s *Scheduler) mayMove(now time.Time, r *run) bool {
	standing := r.spec.QoS == task.LatencyCritical && r.spec.RunMS == 0 && !r.spec.Urgent
	if !standing || s.options.ObjectivesMS[r.spec.Class] <= 0 || s.isProtected(r) {
		return false
	}
	if s.spread.runs[spreadKey{class: r.spec.Class}] < gatherInstances || s.isUnsettled(now, r.spec.Class) {
		return false
	}
	for i, e := range s.calendar {
		w := s.windows[i]
		near := !now.Before(w.From.Add(-drainLead)) && now.Before(w.Until)
		if near && (len(e.Services) == 0 || slices.Contains(e.Services, r.spec.Class)) {
			return false
		}
	}
	return true
}

// isUnsettled reports whether an instance of a class waits, is being evicted or
// misses its objective.
func (s *Scheduler) isUnsettled(now time.Time, class string) bool {
	for _, g := range s.queue.groups {
		if g.key.class == class {
			return true
		}
	}
	for _, n := range s.order {
		for _, r := range n.runs {
			if r.spec.Class == class && (r.isEvicting(now) || n.watch != nil && n.watch.Violated(now)) {
				return true
			}
		}
	}
	return false
}

// hasGatheringHost reports whether a host with no less latency-critical work
// than the run's own can take it at once, with tolerated harm or no more than
// where it is.
func (s *Scheduler) hasGatheringHost(r *run) bool {
	q := request{
		spec: r.spec, size: s.sizes.Size(r.spec), avoid: s.past.avoid(r.spec.ID),
		mostGathered: s.mostGathered(r.spec),
	}
	least := r.node.critical
	tolerated := max(toleratedHarm, s.harm(&q, r.node))
	for _, n := range s.order {
		if n == r.node || n.critical < least || q.filter(n) != Feasible {
			continue
		}
		if q.gathers(n) && s.harm(&q, n) <= tolerated {
			return true
		}
	}
	return false
}
