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
	// slot is the index in the group's heap.
	slot int
	// latestStart is when the job must start to finish by its due time, in
	// Unix milliseconds; 0 if it is never due.
	latestStart int64
	avoid       map[string]bool
	// nominated is the node from which victims are being evicted for the job.
	nominated *node
	// held is what is reserved for the job on the nominated node.
	held infra.Resources
	// nominatedUnixMS is when the nomination began, in Unix milliseconds.
	nominatedUnixMS int64
}

// isDueSoon reports whether the job's latest start is so close that it takes
// precedence over fair sharing.
func (p *pending) isDueSoon(now time.Time) bool {
	slack := time.Duration(p.latestStart-now.UnixMilli()) * time.Millisecond
	return p.latestStart != 0 && slack <= dueWindow
}

// groupKey holds the properties that determine where a pending job fits. If
// one job of a group doesn't fit, none does.
type groupKey struct {
	urgent    bool
	due       bool
	team      string
	class     string
	qos       task.QoS
	resources infra.Resources
	floor     infra.Resources
	zones     string
	// uniqueID is the job's ID if it avoids hosts or has a nomination, so that
	// it forms a group of its own.
	uniqueID string
}

// verdict is the result of the last attempt to place the first job of a group.
type verdict uint8

const (
	notTried verdict = iota
	placed
	overQuota
	noHostFits
	waitsForVictims
	wouldInterfere
	// evicts is the verdict of the plan that chooses the victims.
	evicts
)

// endsGroup reports whether the verdict applies to the other jobs of the group
// as well.
func (v verdict) endsGroup() bool { return v != placed && v != evicts }

// String returns the verdict as shown to users.
func (v verdict) String() string {
	switch v {
	case overQuota:
		return "quota is used up"
	case noHostFits:
		return "no host fits"
	case waitsForVictims, evicts:
		return "waits for victims to be released"
	case wouldInterfere:
		return "would slow latency-critical work"
	default:
		return "waits for its turn"
	}
}

// group is a heap of pending jobs with the same key.
type group struct {
	key     groupKey
	jobs    []*pending
	verdict verdict
	// rank is the order of the group within a plan.
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
		key.uniqueID = p.spec.ID
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
