package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/eviction"
	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/task"
)

// observeLatency updates the interference model and the host's monitor with
// reported latencies, which are a lag old.
func (s *Scheduler) observeLatency(n *node, u Usage) {
	if n.monitor == nil {
		n.monitor = eviction.NewHostMonitor(s.monitorOptions())
	}
	batch := s.batchAt(n, u.At.Add(-s.options.Colocation.UsageLag.D()))
	worst := 0.0
	for _, class := range slices.Sorted(maps.Keys(u.LatencyMS)) {
		latency, objective := u.LatencyMS[class], s.options.ObjectivesMS[class]
		if objective <= 0 || latency <= 0 {
			continue
		}
		s.model.Learn(class, interference.Load{OwnUtilization: n.ownUtilization(class), Batch: batch}, latency)
		if latencyRatio := latency / objective; latencyRatio > worst {
			worst, n.worst = latencyRatio, class
		}
	}
	if worst == 0 {
		return
	}
	n.monitor.Observe(u.At, worst)
	s.addWatched(n)
}

func (s *Scheduler) monitorOptions() eviction.Options {
	c := s.options.Colocation
	return eviction.Options{
		Lag:             c.UsageLag.D(),
		EvictAfter:      c.EvictAfter.D(),
		ThrottlePercent: c.ThrottlePercent,
	}
}

// addWatched adds a node to the watched ones unless its monitor is idle.
func (s *Scheduler) addWatched(n *node) {
	if n.watched || n.monitor.Idle() {
		return
	}
	n.watched = true
	s.watched = append(s.watched, n)
}

// relieve applies the decisions of the monitors of watched nodes, and stops
// watching nodes that were removed or whose monitor is idle.
func (s *Scheduler) relieve(p *plan) {
	kept := s.watched[:0]
	for _, n := range s.watched {
		if s.nodes[n.host.Name] != n {
			continue
		}
		s.relieveNode(p, n)
		if n.monitor.Idle() {
			n.watched = false
			continue
		}
		kept = append(kept, n)
	}
	clear(s.watched[len(kept):])
	s.watched = kept
}

func (s *Scheduler) relieveNode(p *plan, n *node) {
	if p.remaining() == 0 {
		return
	}
	if !n.hasCritical() {
		s.unthrottleAll(p, n)
		return
	}
	evictionCandidates := s.evictionCandidates(p.now, n)
	mayEvict := s.budget.Available(p.now) > 0
	for _, d := range n.monitor.Decide(p.now, evictionCandidates, p.remaining(), mayEvict) {
		s.apply(p, n, d)
	}
}

// apply adds the action for a monitor's decision to the plan and updates the
// run. An eviction also starts a cooldown of the run's class on the node.
func (s *Scheduler) apply(p *plan, n *node, d eviction.Decision) {
	r := s.runs[d.Job]
	if d.Kind == eviction.Evict {
		n.startCooldown(p.now, r.spec.Class, p.now.Add(cooldownWaits*s.options.Colocation.EvictAfter.D()))
		s.evict(p, r, "slows "+n.worst)
		return
	}
	r.setCPULimit(p.now, int32(d.CPULimit))
	reason := n.worst + " is calm"
	if d.Kind == eviction.Throttle {
		reason = "slows " + n.worst
	}
	p.add(Action{Kind: Throttle, Job: d.Job, Host: n.host.Name, CPULimit: d.CPULimit, Reason: reason})
}

// unthrottleAll removes every throttle on a node without latency-critical runs,
// and resets the node's monitor.
func (s *Scheduler) unthrottleAll(p *plan, n *node) {
	for _, r := range n.runs {
		if r.cpuLimit == fullCPU || p.remaining() == 0 {
			continue
		}
		r.setCPULimit(p.now, fullCPU)
		p.add(Action{
			Kind: Throttle, Job: r.spec.ID, Host: n.host.Name, CPULimit: fullCPU,
			Reason: "no latency-critical work is left here",
		})
	}
	n.monitor = eviction.NewHostMonitor(s.monitorOptions())
}

func (n *node) hasCritical() bool { return n.criticalRuns > 0 }

// evictionCandidates returns the batch runs of a node with their estimated
// effect on the latency of the worst class.
func (s *Scheduler) evictionCandidates(now time.Time, n *node) []eviction.Candidate {
	var list []eviction.Candidate
	for _, r := range n.runs {
		if r.spec.QoS == task.LatencyCritical || r.isEvicting(now) {
			continue
		}
		mean, deviation := s.model.Effect(n.worst, r.spec.Class, n.cpuShare(r.fullMilliCPU()))
		list = append(list, eviction.Candidate{
			Job:       r.spec.ID,
			CPULimit:  int(r.cpuLimit),
			Effect:    mean,
			Deviation: deviation,
			LostMS:    r.doneMS,
			Protected: r.spec.Urgent || s.isProtected(r),
		})
	}
	return list
}
