package dispatch

import (
	"math"
	"time"

	"github.com/fireflygate/fireflygate/queue"
)

// PlanLimits bounds a planning cycle.
type PlanLimits struct {
	// Starts is the most starts.
	Starts int
	// Visits is the number of visits of workers after which no further step is tried;
	// math.MaxInt for no limit. With a limit, urgent steps come first, which it doesn't
	// bound, and searches visit only some of the workers that a step fits on.
	Visits int
	// Lease is the longest lease that a start gives.
	Lease time.Duration
}

const (
	// cheapVisits is how many checks of a worker's free capacity cost as much as a visit,
	// which also estimates the effect of a task on those that serve there.
	cheapVisits = 16
	// minSampled is the least number of workers with room that a limited search compares,
	// and sampledPerTask the number for each task that the search is for.
	minSampled, sampledPerTask = 64, 2
)

// visitsLimited reports whether visits are limited.
func (c *cycle) visitsLimited() bool { return c.maxVisits != math.MaxInt }

// divideVisits divides the limit on visits equally among the pools with waiting steps, as the
// steps of one pool may fit nowhere and use up all that they get in every cycle.
func (c *cycle) divideVisits(list []*waitingStep) {
	if !c.visitsLimited() {
		return
	}
	c.visitsLeft = map[string]int{}
	for _, w := range list {
		c.visitsLeft[w.step.job.queue.Pool] = 0
	}
	for pool := range c.visitsLeft {
		c.visitsLeft[pool] = max(c.maxVisits/len(c.visitsLeft), 1)
	}
}

// visitsUsedUp reports whether nothing is left to a pool of the limit on visits.
func (c *cycle) visitsUsedUp(pool string) bool { return c.visitsLeft != nil && c.visitsLeft[pool] <= 0 }

// withinVisits calls place, which tries a step of a pool, unless the pool has used up its
// visits, and counts those that place makes.
func (c *cycle) withinVisits(pool string, place func()) {
	if c.visitsLeft == nil {
		place()
		return
	}
	if c.visitsUsedUp(pool) {
		c.visitLimitReached = true
		return
	}
	before := c.visits
	place()
	c.visitsLeft[pool] -= c.visits - before
}

// sampled returns the number of workers with room after which the search for a step's
// tasks ends.
func (c *cycle) sampled(st *step) int {
	if !c.visitsLimited() {
		return math.MaxInt
	}
	return max(minSampled, sampledPerTask*st.idle)
}

// placeUrgent places the steps with lost long-running tasks and the urgent steps that are still
// useful, in queue order. A step of a pool with shares waits for its turn if its queue isn't below
// its share.
func (c *cycle) placeUrgent(list []*waitingStep) {
	for _, w := range list {
		st := w.step
		if c.startLimitReached() {
			return
		}
		useful := isUrgent(st.spec) && queue.TimelinessOf(&w.entry, c.now) != queue.Expired
		if !useful && !w.entry.Restart {
			continue
		}
		q := c.sharedQueueOf(st)
		if q != nil && q.met() {
			continue
		}
		c.claiming = q
		c.placeStep(st)
		c.claiming = nil
	}
}
