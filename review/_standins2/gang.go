package main

import (
	"fmt"
	"strings"
	"time"
)

// gangTime is gang_ms.
const gangTime = 3 * time.Second

// gang is one run of a gang: its members work from the moment when all are present.
type gang struct {
	members []member
	whole   bool
}

// member is a member of a gang on its minion.
type member struct {
	m *minion
	r *run
}

// joined adds a member that has begun. Once all are present they work, and end together; a
// member that has waited for gangTime ends alone. No machine, link or minion is disrupted, and
// nothing is cancelled, so that breaks the rule GANG.
func (j *judge) joined(m *minion, r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	name := fmt.Sprintf("%s run %d", r.task[:strings.LastIndexByte(r.task, '.')], r.number)
	g := j.gangs[name]
	if g == nil {
		g = &gang{}
		j.gangs[name] = g
	}
	g.members = append(g.members, member{m, r})
	if len(g.members) < r.step.Count {
		r.over = time.AfterFunc(gangTime, func() { j.alone(name, g, m, r) })
		return
	}
	g.whole = true
	for _, x := range g.members {
		x.r.begun = time.Now()
		time.AfterFunc(time.Duration(r.spec.MS)*time.Millisecond, func() { x.m.end(x.r, "done") })
	}
}

// alone ends a member that has waited in vain.
func (j *judge) alone(name string, g *gang, m *minion, r *run) {
	j.mu.Lock()
	whole := g.whole
	if !whole {
		j.breachLocked("GANG: %s ends alone: %d of %d members were present", name, len(g.members), r.step.Count)
	}
	j.mu.Unlock()
	if !whole {
		m.end(r, "alone")
	}
}
