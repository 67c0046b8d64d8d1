package placement

import (
	"math/rand/v2"
	"time"

	"github.com/fireflygate/fireflygate/estimate"
	"github.com/fireflygate/fireflygate/eviction"
	"github.com/fireflygate/fireflygate/forecast"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/quota"
)

// Scheduler is a Planner that filters, scores and reserves. Its indexes are
// updated incrementally, so that a decision examines few hosts. It is not safe
// for concurrent use and reads no clock.
type Scheduler struct {
	options   Options
	random    *rand.Rand
	nodes     map[string]*node
	order     []*node
	index     index
	unfit     unfitCache
	shapes    shapes
	capacity  infra.Resources
	runs      map[string]*run
	queue     queue
	groupHeap groupHeap
	// nominees are the urgent jobs with a nomination, oldest first.
	nominees  []*pending
	teams     teams
	spread    spread
	history   histories
	estimator *estimate.Estimator
	budget    *eviction.Budget
	calendar  forecast.Calendar
	// windows holds the events' windows as of the last plan, in the order of
	// calendar.
	windows  []forecast.Window
	progress map[occurrence]*progress
	model    *interference.Model
	explorer interference.Explorer
	// watched are the nodes whose monitors may have decisions.
	watched []*node
	// loadBuffer is reused for each node.
	loadBuffer []interference.Share
	// drainAt is the position in order at which the last drain stopped.
	drainAt int
	// nextConsolidation is the earliest time of the next consolidation.
	nextConsolidation time.Time
	// candidates is reused for each decision.
	candidates []*node
	// victimBuffer is reused for each host.
	victimBuffer []*run
	// now is the time of the last plan, for Explain.
	now time.Time
}

var _ Planner = (*Scheduler)(nil)

// New returns a Scheduler without hosts or jobs.
func New(o Options) *Scheduler {
	// Package settings has already rejected invalid events.
	calendar, _ := forecast.NewCalendar(o.Events)
	return &Scheduler{
		options:   o,
		random:    rand.New(rand.NewPCG(o.Seed, 0)),
		nodes:     map[string]*node{},
		unfit:     newUnfitCache(),
		shapes:    newShapes(),
		runs:      map[string]*run{},
		queue:     newQueue(),
		teams:     newTeams(o.Teams),
		spread:    newSpread(),
		history:   newHistories(),
		estimator: estimate.NewEstimator(),
		budget:    eviction.NewBudget(o.Colocation.MaxEvictionsPerMinute),
		calendar:  calendar,
		windows:   make([]forecast.Window, len(calendar)),
		progress:  map[occurrence]*progress{},
		model:     interference.NewModel(o.ObjectivesMS, o.tailMargin()),
		explorer:  interference.Explorer{Interval: o.exploreInterval()},
	}
}

// Capacity implements Planner.
func (s *Scheduler) Capacity() infra.Resources { return s.capacity }

// SetAllotment bounds what team may reserve in this shard, as divided by
// package quota.
func (s *Scheduler) SetAllotment(team string, allotment quota.Amount) {
	s.teams.get(team).allotment = allotment
}

// TeamUsage returns what team reserves in this shard and what its pending jobs
// request in addition; quotas are divided by it.
func (s *Scheduler) TeamUsage(team string) (used, pending infra.Resources) {
	used = s.teams.get(team).used
	for _, g := range s.queue.groups {
		if g.key.team != team {
			continue
		}
		size := s.estimator.Size(g.jobs[0].spec)
		count := int64(len(g.jobs))
		pending.MilliCPU += size.MilliCPU * count
		pending.MemoryMB += size.MemoryMB * count
		pending.Accelerators += size.Accelerators * count
	}
	return used, pending
}
