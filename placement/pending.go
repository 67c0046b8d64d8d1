package placement

import (
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// pending is a job that waits for a host.
type pending struct {
	spec  task.Spec
	group *group
	// slot is its place in the group's heap.
	slot int
	// latestStart is when it must start to be done when it is due, in Unix
	// milliseconds; 0 if it is never due.
	latestStart int64
	avoid       map[string]bool
	// nominated is the node that victims are leaving for its sake.
	nominated *node
	held      infra.Resources
	// nominatedUnixMS is since when.
	nominatedUnixMS int64
}

// pressed reports whether there is so little slack until the job must start
// that it goes before fair sharing.
func (p *pending) pressed(now time.Time) bool {
	slack := time.Duration(p.latestStart-now.UnixMilli()) * time.Millisecond
	return p.latestStart != 0 && slack <= dueWindow
}

// groupKey is what alike pending jobs share: where one does not fit, none
// does.
type groupKey struct {
	urgent    bool
	due       bool
	team      string
	class     string
	qos       task.QoS
	resources infra.Resources
	floor     infra.Resources
	zones     string
	// alone is the job's id if it avoids hosts or has a node nominated, and
	// so is like no other.
	alone string
}

// verdict is why a group's head was not placed when last tried.
type verdict uint8

const (
	notTried verdict = iota
	placed
	overQuota
	noHostFits
	waitsForVictims
	wouldHarm
	// evicts is for the plan in which the victims are chosen.
	evicts
)

// endsTurn reports whether the group's other jobs would fare the same.
func (v verdict) endsTurn() bool { return v != placed && v != evicts }

// String returns the verdict for people.
func (v verdict) String() string {
	switch v {
	case overQuota:
		return "quota is used up"
	case noHostFits:
		return "no host fits"
	case waitsForVictims, evicts:
		return "waits for victims to be released"
	case wouldHarm:
		return "would slow latency-critical work"
	default:
		return "waits for its turn"
	}
}

// group is a heap of alike pending jobs.
type group struct {
	key     groupKey
	jobs    []*pending
	verdict verdict
	// rank orders groups within a plan.
	rank rank
}

func keyOf(p *pending) groupKey {
	key := groupKey{
		urgent:    p.spec.Urgent,
		due:       p.latestStart != 0,
		team:      p.spec.Team,
		class:     p.spec.Class,
		qos:       p.spec.QoS,
		resources: p.spec.Resources,
		floor:     p.spec.Floor,
		zones:     strings.Join(p.spec.Zones, "\x00"),
	}
	if len(p.avoid) > 0 || p.nominated != nil {
		key.alone = p.spec.ID
	}
	return key
}

// Len implements heap.Interface.
func (g *group) Len() int { return len(g.jobs) }

// Less orders jobs by latest start, then by submission.
func (g *group) Less(i, j int) bool {
	a, b := g.jobs[i], g.jobs[j]
	if a.latestStart != b.latestStart {
		return a.latestStart < b.latestStart
	}
	if a.spec.SubmittedUnixMS != b.spec.SubmittedUnixMS {
		return a.spec.SubmittedUnixMS < b.spec.SubmittedUnixMS
	}
	return a.spec.ID < b.spec.ID
}

// Swap implements heap.Interface.
func (g *group) Swap(i, j int) {
	g.jobs[i], g.jobs[j] = g.jobs[j], g.jobs[i]
	g.jobs[i].slot, g.jobs[j].slot = i, j
}

// Push implements heap.Interface.
func (g *group) Push(x any) {
	p := x.(*pending)
	p.slot, p.group = len(g.jobs), g
	g.jobs = append(g.jobs, p)
}

// Pop implements heap.Interface.
func (g *group) Pop() any {
	last := len(g.jobs) - 1
	p := g.jobs[last]
	g.jobs[last] = nil
	g.jobs = g.jobs[:last]
	p.group = nil
	return p
}
