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
	// maxPreemptionHosts bounds the hosts searched for victims for one job.
	maxPreemptionHosts = 64
	// evictionLimit is after how long an eviction that was asked for and
	// not carried out is asked for again.
	evictionLimit = 30 * time.Second
)

// preempt makes room for an urgent job that fits nowhere: it evicts batch,
// least work lost first, no more than needed, within the budget. The job
// starts once its victims are released.
func (s *Scheduler) preempt(p *plan, j *pending, q *request) verdict {
	if !q.spec.Urgent {
		return noHostFits
	}
	if j.nominated != nil {
		return waitsForVictims
	}
	n, victims := s.leastLoss(p, q)
	if n == nil {
		return noHostFits
	}
	for _, v := range victims {
		s.evict(p, v, "makes room for urgent "+j.spec.ID)
	}
	s.nominate(p.now, j, n, q.size)
	return evicts
}

// evict asks for a run's eviction; the caller has checked the budget.
func (s *Scheduler) evict(p *plan, r *run, reason string) {
	if !s.budget.Take(p.now) {
		panic("placement: eviction beyond the budget")
	}
	r.evicting = p.now
	s.past.of(r.spec.ID).evictions++
	p.add(Action{Kind: Evict, Job: r.spec.ID, Host: r.node.host.Name, Reason: reason})
}

// leastLoss returns the host among a bounded sample where the least work is
// lost, with the victims; nil if there is none within the budget.
func (s *Scheduler) leastLoss(p *plan, q *request) (*node, []*run) {
	most := min(p.room(), s.budget.Available(p.now))
	if most <= 0 || len(s.order) == 0 {
		return nil, nil
	}
	var chosen *node
	var victims []*run
	var least int64
	start := s.random.IntN(len(s.order))
	looked := 0
	for i := range s.order {
		n := s.order[(start+i)%len(s.order)]
		if looked >= maxPreemptionHosts && chosen != nil {
			break
		}
		if !q.mayRunOn(n) {
			continue
		}
		looked++
		found, loss := s.victims(p.now, q, n, most)
		if found != nil && (chosen == nil || loss < least) {
			chosen, victims, least = n, found, loss
		}
	}
	return chosen, victims
}

// mayRunOn asks the filters that no eviction can change.
func (q *request) mayRunOn(n *node) bool {
	return n.host.Unschedulable == "" &&
		zoneFits(q.spec.Zones, n.host.Zone) &&
		!q.avoid[n.host.Name] &&
		q.size.Fits(n.host.Capacity)
}

// victims returns up to most runs whose release makes the job fit on n, and
// the work lost with them; nil if that is not enough.
func (s *Scheduler) victims(now time.Time, q *request, n *node, most int) ([]*run, int64) {
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
	chosen = spare(chosen, missing)
	if len(chosen) == 0 || len(chosen) > most {
		return nil, 0
	}
	var loss int64
	for _, r := range chosen {
		loss += r.doneMS
	}
	return chosen, loss
}

// helps reports whether size frees something that is missing.
func helps(size, missing infra.Resources) bool {
	return missing.MilliCPU > 0 && size.MilliCPU > 0 ||
		missing.MemoryMB > 0 && size.MemoryMB > 0 ||
		missing.Accelerators > 0 && size.Accelerators > 0
}

// spare drops victims that turned out not to be needed, the greatest loss
// first. What is missing is negative where more is freed than needed.
func spare(chosen []*run, missing infra.Resources) []*run {
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
// least work to lose first. Runs that were evicted often come last.
func (s *Scheduler) evictable(now time.Time, n *node) []*run {
	s.victimsOf = s.victimsOf[:0]
	for _, r := range n.runs {
		if r.spec.QoS == task.LatencyCritical || r.spec.Urgent || r.isEvicting(now) || s.isProtected(r) {
			continue
		}
		s.victimsOf = append(s.victimsOf, r)
	}
	slices.SortFunc(s.victimsOf, func(a, b *run) int {
		if a.doneMS != b.doneMS {
			return cmp.Compare(a.doneMS, b.doneMS)
		}
		return strings.Compare(a.spec.ID, b.spec.ID)
	})
	return s.victimsOf
}

// maxEvictions is after how many evictions a job is protected.
const maxEvictions = 2

// isProtected keeps a job that was evicted often from starving.
func (s *Scheduler) isProtected(r *run) bool {
	return s.past.evictions(r.spec.ID) >= maxEvictions
}

// isEvicting reports whether the run's eviction is under way.
func (r *run) isEvicting(now time.Time) bool {
	return !r.evicting.IsZero() && now.Sub(r.evicting) < evictionLimit
}
