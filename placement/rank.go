package placement

import (
	"container/heap"
	"time"
)

// dueWindow is the time before its latest start from which a job takes
// precedence over fair sharing.
const dueWindow = time.Hour

// tier is the first criterion in the order of groups.
type tier uint8

const (
	tierUrgent tier = iota
	tierDue
	tierFair
)

// rank orders groups: by tier; then urgent ones by submission, due ones by
// latest start, and the rest by their team's share and submission.
type rank struct {
	tier      tier
	key       float64
	submitted int64
	id        string
}

func (a rank) before(b rank) bool {
	switch {
	case a.tier != b.tier:
		return a.tier < b.tier
	case a.key != b.key:
		return a.key < b.key
	case a.submitted != b.submitted:
		return a.submitted < b.submitted
	default:
		return a.id < b.id
	}
}

// rankOf ranks a group by its first job.
func (s *Scheduler) rankOf(now time.Time, g *group) rank {
	head := g.jobs[0]
	r := rank{tier: tierFair, submitted: head.spec.SubmittedUnixMS, id: head.spec.ID}
	switch {
	case g.key.urgent:
		r.tier = tierUrgent
	case head.isDueSoon(now):
		r.tier = tierDue
		r.key = float64(head.latestStart)
	default:
		r.key = s.teams.share(g.key.team, s.capacity)
	}
	return r
}

// groupHeap holds the groups that remain to be tried in a plan.
type groupHeap []*group

// Len implements heap.Interface.
func (t groupHeap) Len() int { return len(t) }

// Less implements heap.Interface.
func (t groupHeap) Less(i, j int) bool { return t[i].rank.before(t[j].rank) }

// Swap implements heap.Interface.
func (t groupHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *groupHeap) Push(x any) { *t = append(*t, x.(*group)) }

// Pop implements heap.Interface.
func (t *groupHeap) Pop() any {
	last := len(*t) - 1
	g := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	return g
}

// dropFirst removes the first group.
func (t *groupHeap) dropFirst() { heap.Pop(t) }

// rankGroups ranks all groups and returns them as a heap with the first by rank
// on top. It reuses the memory of the last plan.
func (s *Scheduler) rankGroups(now time.Time) *groupHeap {
	s.groupHeap = s.groupHeap[:0]
	for _, g := range s.queue.groups {
		g.rank = s.rankOf(now, g)
		s.groupHeap = append(s.groupHeap, g)
	}
	heap.Init(&s.groupHeap)
	return &s.groupHeap
}

// next returns the first group by rank; nil if none is left. Ranks are updated
// lazily, since a group's rank can only fall while a plan is made.
func (s *Scheduler) next(now time.Time, groups *groupHeap) *group {
	for len(*groups) > 0 {
		g := (*groups)[0]
		fresh := s.rankOf(now, g)
		if fresh == g.rank {
			return g
		}
		g.rank = fresh
		heap.Fix(groups, 0)
	}
	return nil
}
