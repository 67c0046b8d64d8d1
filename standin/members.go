package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/infra"
)

// Members is a stand-in for the membership service. Operators change the
// true list; readers see the published one, which may lag. It implements
// infra.Members.
type Members struct {
	*injector
	recorder *check.Recorder
	// instance tells this list from that of another process in entity tags.
	instance string

	mu        sync.Mutex
	truth     map[string]infra.Member
	published infra.MemberList
	lag       Lag
}

var _ infra.Members = (*Members)(nil)

// NewMembers returns an empty list that is published at each change.
func NewMembers(recorder *check.Recorder) *Members {
	return &Members{
		injector:  newInjector(),
		recorder:  recorder,
		instance:  uuid.NewString(),
		truth:     map[string]infra.Member{},
		published: infra.MemberList{Revision: 1},
	}
}

// List reads the published list.
func (m *Members) List(ctx context.Context) (infra.MemberList, error) {
	var list infra.MemberList
	if m.run(ctx, func() { list = m.list() }) != processed {
		return infra.MemberList{}, infra.ErrUnavailable
	}
	return list, nil
}

// Put adds or replaces a member.
func (m *Members) Put(member infra.Member) {
	m.change(func() { m.truth[member.Name] = member })
}

// SetState changes the state of a member, if there is one of that name.
func (m *Members) SetState(name string, state infra.MemberState) {
	m.change(func() {
		if member, ok := m.truth[name]; ok {
			member.State = state
			m.truth[name] = member
		}
	})
}

// Remove drops a member.
func (m *Members) Remove(name string) {
	m.change(func() { delete(m.truth, name) })
}

// SetLag says how publication lags behind changes from now on.
func (m *Members) SetLag(lag Lag) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

// Publish makes the published list the true one at once.
func (m *Members) Publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish()
}

func (m *Members) change(apply func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	apply()
	switch {
	case m.lag.Held:
	case m.lag.DelayMS > 0:
		time.AfterFunc(time.Duration(m.lag.DelayMS)*time.Millisecond, m.Publish)
	default:
		m.publish()
	}
}

// publish needs m.mu. A list that did not change keeps its revision.
func (m *Members) publish() {
	members := make([]infra.Member, 0, len(m.truth))
	for _, member := range m.truth {
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b infra.Member) int { return strings.Compare(a.Name, b.Name) })
	if slices.Equal(members, m.published.Members) {
		return
	}
	m.recordLeaving(members)
	m.published = infra.MemberList{Revision: m.published.Revision + 1, Members: members}
}

// recordLeaving records the members whose published state changes.
func (m *Members) recordLeaving(members []infra.Member) {
	before := map[string]infra.MemberState{}
	for _, member := range m.published.Members {
		before[member.Name] = member.State
	}
	for _, member := range members {
		was := before[member.Name] == infra.Leaving
		is := member.State == infra.Leaving
		switch {
		case is && !was:
			m.recorder.Add(check.Record{LeavingBegan: &check.LeavingBegan{Member: member.Name}})
		case was && !is:
			m.recorder.Add(check.Record{LeavingEnded: &check.LeavingEnded{Member: member.Name}})
		}
	}
}

func (m *Members) list() infra.MemberList {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.published
	list.Members = slices.Clone(list.Members)
	return list
}
