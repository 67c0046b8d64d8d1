package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

const (
	// maxPreemptionHosts bounds the hosts examined for victims per job.
	maxPreemptionHosts = 64
	// evictionLimit is how long to wait for a requested eviction before it is
	// requested again.
	evictionLimit = 30 * time.Second
)

// preempt frees capacity for an urgent job that fits nowhere. It evicts batch
// runs within the budget, those with the least work lost first. The job starts
// once its victims are released.
func (s *Scheduler) preempt(p *plan, j *pending, q *request) verdict {
	if !q.spec.Urgent {
		return noHostFits
	}
	if j.nominated != nil {
		return waitsForVictims
	}
	n, victims := s.cheapestVictims(p, q)
	if n == nil {
		return noHostFits
	}
	for _, v := range victims {
		s.evict(p, v, "makes room for urgent "+j.spec.ID)
	}
	s.nominate(p.now, j, n, q.size)
	return evicts
}

// evict adds a run's eviction to the plan, counts it against the budget and
// records it in the job's history. The caller has checked the budget.
func (s *Scheduler) evict(p *plan, r *run, reason string) {
	if !s.budget.Take(p.now) {
		panic("placement: eviction exceeds the budget")
	}
	r.evictionRequested = p.now
	s.history.of(r.spec.ID).evictions++
	p.add(Action{Kind: Evict, Job: r.spec.ID, Host: r.node.host.Name, Reason: reason})
}

// cheapestVictims returns the host among a bounded sample where the least work
// is lost, with the victims; nil if there is none within the budget.
func (s *Scheduler) cheapestVictims(p *plan, q *request) (*node, []*run) {
	maxVictims := min(p.remaining(), s.budget.Available(p.now))
	if maxVictims <= 0 || len(s.order) == 0 {
		return nil, nil
	}
	var chosen *node
	var victims []*run
	var least int64
	start := s.random.IntN(len(s.order))
	examined := 0
	for i := range s.order {
		n := s.order[(start+i)%len(s.order)]
		if examined >= maxPreemptionHosts && chosen != nil {
			break
		}
		if !q.mayRunOn(n) {
			continue
		}
		examined++
		found, loss := s.victims(p.now, q, n, maxVictims)
		if found != nil && (chosen == nil || loss < least) {
			chosen, victims, least = n, found, loss
		}
	}
	return chosen, victims
}

// mayRunOn applies the filters whose results evictions can't change.
func (q *request) mayRunOn(n *node) bool {
	return n.host.Unschedulable == "" &&
		zoneFits(q.spec.Zones, n.host.Zone) &&
		!q.avoid[n.host.Name] &&
		q.size.Fits(n.host.Capacity)
}

// victims returns up to maxVictims runs whose release makes the job fit on n,
// and the work lost with them; nil if that isn't enough.
func (s *Scheduler) victims(now time.Time, q *request, n *node, maxVictims int) ([]*run, int64) {
	missing := q.size.Sub(n.free())
	missing.MilliCPU += q.headroom(n.host.Capacity.MilliCPU)
	candidates := s.evictable(now, n)
	var chosen []*run
	for _, r := range candidates {
		if missing.Fits(infra.Resources{}) {
			break
		}
		if helps(r.size, missing) {
			chosen = append(chosen, r)
			missing = missing.Sub(r.size)
		}
	}
	if !missing.Fits(infra.Resources{}) {
		return nil, 0
	}
	chosen = spareUnneeded(chosen, missing)
	if len(chosen) == 0 || len(chosen) > maxVictims {
		return nil, 0
	}
	var loss int64
	for _, r := range chosen {
		loss += r.doneMS
	}
	return chosen, loss
}

// helps reports whether size frees some of what is missing.
func helps(size, missing infra.Resources) bool {
	return missing.MilliCPU > 0 && size.MilliCPU > 0 ||
		missing.MemoryMB > 0 && size.MemoryMB > 0 ||
		missing.Accelerators > 0 && size.Accelerators > 0
}

// spareUnneeded drops victims that aren't needed, the largest loss first.
// Resources of which more than needed is freed are negative in missing.
func spareUnneeded(chosen []*run, missing infra.Resources) []*run {
	for i := len(chosen) - 1; i >= 0; i-- {
		without := missing.Add(chosen[i].size)
		if without.Fits(infra.Resources{}) {
			missing = without
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen
}

// evictable returns the batch runs of n that may be evicted, those with the
// least work to lose first. The result is valid until the next call, which
// reuses its memory.
func (s *Scheduler) evictable(now time.Time, n *node) []*run {
	s.victimBuffer = s.victimBuffer[:0]
	for _, r := range n.runs {
		if r.spec.QoS == task.LatencyCritical || r.spec.Urgent || r.isEvicting(now) || s.isProtected(r) {
			continue
		}
		s.victimBuffer = append(s.victimBuffer, r)
	}
	slices.SortFunc(s.victimBuffer, func(a, b *run) int {
		if a.doneMS != b.doneMS {
			return cmp.Compare(a.doneMS, b.doneMS)
		}
		return strings.Compare(a.spec.ID, b.spec.ID)
	})
	return s.victimBuffer
}

// maxEvictions is the number of evictions after which a job is protected.
const maxEvictions = 2

// isProtected reports whether a run has been evicted so often that it must not
// be evicted again.
func (s *Scheduler) isProtected(r *run) bool {
	return s.history.evictions(r.spec.ID) >= maxEvictions
}

// isEvicting reports whether the run's eviction is in flight.
func (r *run) isEvicting(now time.Time) bool {
	return !r.evictionRequested.IsZero() && now.Sub(r.evictionRequested) < evictionLimit
}
