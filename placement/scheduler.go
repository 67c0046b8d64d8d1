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

// Scheduler is the Planner: filter, score, reserve over indexes that are kept
// up to date, so that a decision looks at few hosts. It is not safe for
// concurrent use and keeps no clock.
type Scheduler struct {
	options  Options
	random   *rand.Rand
	nodes    map[string]*node
	order    []*node
	index    index
	unfit    equivalence
	shapes   shapes
	capacity infra.Resources
	runs     map[string]*run
	queue    queue
	turns    turns
	// nominees are the urgent jobs with a node nominated, oldest first.
	nominees []*pending
	teams    teams
	spread   spread
	past     histories
	sizes    *estimate.Estimator
	budget   *eviction.Budget
	calendar forecast.Calendar
	// windows are the events' windows as of the last plan, in the order of
	// calendar.
	windows  []forecast.Window
	progress map[occurrence]*progress
	model    *interference.Model
	explorer interference.Explorer
	// watched are the nodes on which relief may be due.
	watched []*node
	// loads is reused from node to node.
	loads []interference.Share
	// drainAt is where the search for hosts to drain goes on.
	drainAt int
	// nextGather is when latency-critical work may next be moved.
	nextGather time.Time
	// candidates is reused from decision to decision.
	candidates []*node
	// victimsOf is reused from host to host.
	victimsOf []*run
	// now is the time of the last plan, for Why.
	now time.Time
}

var _ Planner = (*Scheduler)(nil)

// New returns a Scheduler without hosts or jobs.
func New(o Options) *Scheduler {
	// Events that can't be read are refused by package settings before.
	calendar, _ := forecast.NewCalendar(o.Events)
	return &Scheduler{
		options:  o,
		random:   rand.New(rand.NewPCG(o.Seed, 0)),
		nodes:    map[string]*node{},
		unfit:    newEquivalence(),
		shapes:   newShapes(),
		runs:     map[string]*run{},
		queue:    newQueue(),
		teams:    newTeams(o.Teams),
		spread:   newSpread(),
		past:     newHistories(),
		sizes:    estimate.NewEstimator(),
		budget:   eviction.NewBudget(o.Colocation.MaxEvictionsPerMinute),
		calendar: calendar,
		windows:  make([]forecast.Window, len(calendar)),
		progress: map[occurrence]*progress{},
		model:    interference.NewModel(o.ObjectivesMS, o.tailMargin()),
		explorer: interference.Explorer{Interval: o.exploreInterval()},
	}
}

// Capacity implements Planner.
func (s *Scheduler) Capacity() infra.Resources { return s.capacity }

// SetAllotment bounds what team may reserve in this shard, as package quota
// divided it.
func (s *Scheduler) SetAllotment(team string, allotment quota.Amount) {
	s.teams.get(team).allotment = allotment
}

// TeamUsage is what team reserves in this shard and what its pending jobs ask
// for besides, for dividing quotas by demand.
func (s *Scheduler) TeamUsage(team string) (used, pending infra.Resources) {
	used = s.teams.get(team).used
	for _, g := range s.queue.groups {
		if g.key.team != team {
			continue
		}
		size := s.sizes.Size(g.jobs[0].spec)
		count := int64(len(g.jobs))
		pending.MilliCPU += size.MilliCPU * count
		pending.MemoryMB += size.MemoryMB * count
		pending.Accelerators += size.Accelerators * count
	}
	return used, pending
}
