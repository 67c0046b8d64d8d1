package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Explain implements Planner. It examines each host, so it is for queries, not
// for planning.
func (s *Scheduler) Explain(job string) string {
	if r, running := s.runs[job]; running {
		return s.explainRunning(r)
	}
	j, waiting := s.queue.jobs[job]
	if !waiting {
		return "not known here"
	}
	if reason, never := s.NeverFits(j.spec); never {
		return "pending: " + reason
	}
	return "pending: " + s.explainPending(j)
}

func (s *Scheduler) explainRunning(r *run) string {
	text := "runs on " + r.node.host.Name
	switch {
	case !r.evictionRequested.IsZero():
		text += ", eviction asked for"
	case r.cpuLimit < fullCPU:
		text += fmt.Sprintf(", throttled to %d%% of its processors", r.cpuLimit)
	}
	return text
}

func (s *Scheduler) explainPending(j *pending) string {
	q := s.request(s.now, j)
	switch {
	case j.nominated != nil:
		return "waits for victims on " + j.nominated.host.Name + " to be released"
	case !s.teams.allows(j.spec.Team, q.size):
		return "quota of team " + j.spec.Team + " is used up"
	}
	counts := s.countRejections(&q)
	rejections := s.describe(counts)
	if counts[Feasible] > 0 && j.group.verdict == wouldInterfere {
		return fmt.Sprintf("%d of %d hosts fit, but it would slow latency-critical work there",
			counts[Feasible], len(s.order))
	}
	if counts[Feasible] > 0 {
		return fmt.Sprintf("waits for its turn; %d of %d hosts fit", counts[Feasible], len(s.order))
	}
	if q.headroomShare > s.options.Headroom {
		return "waits for the headroom of an event: " + rejections
	}
	return "no host fits: " + rejections
}

// countRejections counts the hosts by filter result.
func (s *Scheduler) countRejections(q *request) [statuses]int {
	var counts [statuses]int
	for _, n := range s.order {
		counts[q.filter(n)]++
	}
	return counts
}

// describe lists the filters that rejected hosts.
func (s *Scheduler) describe(counts [statuses]int) string {
	parts := s.unschedulableReasons()
	for status := RejectedUnschedulable + 1; status < statuses; status++ {
		if counts[status] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[status], status))
		}
	}
	if len(parts) == 0 {
		return "no host is known"
	}
	return fmt.Sprintf("of %d hosts %s", len(s.order), strings.Join(parts, ", "))
}

// unschedulableReasons lists why hosts get no new tasks.
func (s *Scheduler) unschedulableReasons() []string {
	counts := map[string]int{}
	for _, n := range s.order {
		if reason := n.host.Unschedulable; reason != "" {
			counts[reason]++
		}
	}
	parts := make([]string, 0, len(counts))
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[reason], reason))
	}
	return parts
}
