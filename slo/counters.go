package slo

import "github.com/fireflygate/fireflygate/settings"

// counters is the set of counters for Observe. It is immutable, so that
// Observe needs no lock.
type counters struct {
	byName    map[string]*counter
	byService map[string][]*counter
}

// withObjectives returns the counters for new objectives. It keeps the
// counters of objectives whose latency bound is unchanged.
func (old *counters) withObjectives(objectives map[string]settings.Objective) *counters {
	c := &counters{byName: map[string]*counter{}, byService: map[string][]*counter{}}
	for name, o := range objectives {
		one := &counter{latency: o.Latency.D()}
		if old != nil {
			if before, ok := old.byName[name]; ok && before.latency == one.latency {
				one = before
			}
		}
		c.byName[name] = one
		c.byService[o.Service] = append(c.byService[o.Service], one)
	}
	return c
}
