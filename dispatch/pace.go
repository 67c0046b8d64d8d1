package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/pace"
)

// judgeInterval is the time between two decisions which workers are slow. Each worker
// reports every half second to two seconds.
const judgeInterval = 100 * time.Millisecond

// paceState tracks the speed of workers.
type paceState struct {
	// judges holds the judge of each pool, by pool.
	judges    map[string]*pace.Judge
	baselines pace.Baselines
	judgedAt  time.Time
	// slow counts the workers that count as slow.
	slow int
	// workers and members are buffers for the workers of one pool.
	workers []*worker
	members []*pace.Worker
	// pools is a buffer for the names of the pools.
	pools []string
	moves paceMoves
	// changes holds what TakePaceChanges returns next.
	changes []PaceChange
}

// newPaceState returns nil if the speed of workers isn't tracked.
func newPaceState(cfg *Config) *paceState {
	if !cfg.WorkerPace || cfg.Disabled.Has(mechanism.WorkerPace) {
		return nil
	}
	return &paceState{judges: map[string]*pace.Judge{}}
}

// judgePace decides which workers are slow, once per judgeInterval.
func (s *State) judgePace(now time.Time) {
	p := s.pace
	if p == nil || now.Sub(p.judgedAt) < judgeInterval {
		return
	}
	p.judgedAt = now
	p.slow = 0
	p.pools = p.pools[:0]
	for _, w := range s.byID() {
		if !slices.Contains(p.pools, w.info.Pool) {
			p.pools = append(p.pools, w.info.Pool)
		}
	}
	for _, name := range p.pools {
		s.judgePool(now, name)
	}
	maps.DeleteFunc(p.judges, func(name string, _ *pace.Judge) bool { return !slices.Contains(p.pools, name) })
	clear(p.workers[:cap(p.workers)])
	clear(p.members[:cap(p.members)]) // removed workers aren't kept
}

// judgePool decides which workers of a pool are slow. Those that don't answer are left as
// they are.
func (s *State) judgePool(now time.Time, name string) {
	p := s.pace
	p.workers, p.members = p.workers[:0], p.members[:0]
	for _, w := range s.byID() {
		if w.info.Pool == name && w.reported && w.listed && w.unresponsiveSince.IsZero() {
			p.workers = append(p.workers, w)
			p.members = append(p.members, &w.pace)
		}
	}
	judge := p.judges[name]
	if judge == nil {
		judge = &pace.Judge{}
		p.judges[name] = judge
	}
	for _, i := range judge.Decide(now, p.members) {
		w := p.workers[i]
		if w.pace.Slow() {
			s.recordPaceChange(w, PaceSlow, w.pace.Factor(now))
		} else {
			s.recordPaceChange(w, PaceHealthy, 1)
		}
	}
	for _, w := range p.members {
		if w.Slow() {
			p.slow++
		}
	}
}

// slowdown returns the factor of a slow worker, 0 for others.
func (c *cycle) slowdown(w *worker) float64 {
	if p := c.s.pace; p == nil || p.slow == 0 || !w.pace.Slow() {
		return 0
	}
	return w.pace.Factor(c.now)
}
