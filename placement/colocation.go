package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/eviction"
	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/task"
)

// observeLatency learns from a host's latencies, which are of a lag ago, and
// tells its watch of the worst.
func (s *Scheduler) observeLatency(n *node, u Usage) {
	if n.watch == nil {
		n.watch = eviction.NewHostMonitor(s.watchOptions())
	}
	batch := s.batchAt(n, u.At.Add(-s.options.Colocation.UsageLag.D()))
	worst := 0.0
	for _, class := range slices.Sorted(maps.Keys(u.LatencyMS)) {
		latency, objective := u.LatencyMS[class], s.options.ObjectivesMS[class]
		if objective <= 0 || latency <= 0 {
			continue
		}
		s.model.Learn(class, interference.Load{OwnUtilization: n.self(class), Batch: batch}, latency)
		if over := latency / objective; over > worst {
			worst, n.worst = over, class
		}
	}
	if worst == 0 {
		return
	}
	n.watch.Observe(u.At, worst)
	s.follow(n)
}

func (s *Scheduler) watchOptions() eviction.Options {
	c := s.options.Colocation
	return eviction.Options{
		Lag:             c.UsageLag.D(),
		EvictAfter:      c.EvictAfter.D(),
		ThrottlePercent: c.ThrottlePercent,
	}
}

// follow puts a node among the watched ones if its watch has work.
func (s *Scheduler) follow(n *node) {
	if n.watched || n.watch.Idle() {
		return
	}
	n.watched = true
	s.watched = append(s.watched, n)
}

// relieve lets the watched nodes decide.
func (s *Scheduler) relieve(p *plan) {
	kept := s.watched[:0]
	for _, n := range s.watched {
		if s.nodes[n.host.Name] != n {
			continue
		}
		s.relieveNode(p, n)
		if n.watch.Idle() {
			n.watched = false
			continue
		}
		kept = append(kept, n)
	}
	clear(s.watched[len(kept):])
	s.watched = kept
}

func (s *Scheduler) relieveNode(p *plan, n *node) {
	if p.room() == 0 {
		return
	}
	if !n.hasCritical() {
		s.liftAll(p, n)
		return
	}
	suspects := s.suspects(p.now, n)
	mayEvict := s.budget.Available(p.now) > 0
	for _, d := range n.watch.Decide(p.now, suspects, p.room(), mayEvict) {
		s.apply(p, n, d)
	}
}

// apply turns a decision of the watch into an action.
func (s *Scheduler) apply(p *plan, n *node, d eviction.Decision) {
	r := s.runs[d.Job]
	if d.Kind == eviction.Evict {
		n.cool(p.now, r.spec.Class, p.now.Add(coolingWaits*s.options.Colocation.EvictAfter.D()))
		s.evict(p, r, "slows "+n.worst)
		return
	}
	r.throttle(p.now, int32(d.CPULimit))
	reason := n.worst + " is calm"
	if d.Kind == eviction.Throttle {
		reason = "slows " + n.worst
	}
	p.add(Action{Kind: Throttle, Job: d.Job, Host: n.host.Name, CPULimit: d.CPULimit, Reason: reason})
}

// liftAll lifts every throttle on a node that has no latency-critical work
// left.
func (s *Scheduler) liftAll(p *plan, n *node) {
	for _, r := range n.runs {
		if r.percent == fullSpeed || p.room() == 0 {
			continue
		}
		r.throttle(p.now, fullSpeed)
		p.add(Action{
			Kind: Throttle, Job: r.spec.ID, Host: n.host.Name, CPULimit: fullSpeed,
			Reason: "no latency-critical work is left here",
		})
	}
	n.watch = eviction.NewHostMonitor(s.watchOptions())
}

func (n *node) hasCritical() bool { return n.criticals > 0 }

// suspects are the batch runs of a node with what they are estimated to add
// to the worst class's latency.
func (s *Scheduler) suspects(now time.Time, n *node) []eviction.Candidate {
	var list []eviction.Candidate
	for _, r := range n.runs {
		if r.spec.QoS == task.LatencyCritical || r.isEvicting(now) {
			continue
		}
		mean, deviation := s.model.Effect(n.worst, r.spec.Class, n.part(r.fullMilliCPU()))
		list = append(list, eviction.Candidate{
			Job:       r.spec.ID,
			CPULimit:  int(r.percent),
			Effect:    mean,
			Deviation: deviation,
			LostMS:    r.doneMS,
			Protected: r.spec.Urgent || s.isProtected(r),
		})
	}
	return list
}
