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

// Members is a stand-in for the membership service. Changes apply to the current
// list; readers get the published list, which may lag behind. It implements
// infra.Members.
type Members struct {
	*injector
	recorder *check.Recorder
	// instanceID distinguishes the entity tags of different processes.
	instanceID string

	mu        sync.Mutex
	current   map[string]infra.Member
	published infra.MemberList
	lag       Lag
}

var _ infra.Members = (*Members)(nil)

// NewMembers returns an empty list that is published on each change.
func NewMembers(recorder *check.Recorder) *Members {
	return &Members{
		injector:   newInjector(),
		recorder:   recorder,
		instanceID: uuid.NewString(),
		current:    map[string]infra.Member{},
		published:  infra.MemberList{Revision: 1},
	}
}

// List returns the published list.
func (m *Members) List(ctx context.Context) (infra.MemberList, error) {
	var list infra.MemberList
	if m.run(ctx, func() { list = m.list() }) != processed {
		return infra.MemberList{}, infra.ErrUnavailable
	}
	return list, nil
}

// Put adds or replaces a member.
func (m *Members) Put(member infra.Member) {
	m.change(func() { m.current[member.Name] = member })
}

// SetState changes the state of a member; an unknown name has no effect.
func (m *Members) SetState(name string, state infra.MemberState) {
	m.change(func() {
		if member, ok := m.current[name]; ok {
			member.State = state
			m.current[name] = member
		}
	})
}

// Remove removes a member.
func (m *Members) Remove(name string) {
	m.change(func() { delete(m.current, name) })
}

// SetLag sets the publication lag of later changes.
func (m *Members) SetLag(lag Lag) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

// Publish publishes the current list.
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

// publish publishes the current list; an unchanged list keeps its revision. The
// caller holds m.mu.
func (m *Members) publish() {
	members := make([]infra.Member, 0, len(m.current))
	for _, member := range m.current {
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b infra.Member) int { return strings.Compare(a.Name, b.Name) })
	if slices.Equal(members, m.published.Members) {
		return
	}
	m.recordLeaving(members)
	m.published = infra.MemberList{Revision: m.published.Revision + 1, Members: members}
}

// recordLeaving records which members start or stop leaving with this publication.
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
