package slo

import "github.com/fireflygate/fireflygate/settings"

// counters is the immutable set of counters that the traffic path reads.
type counters struct {
	byName    map[string]*counter
	byService map[string][]*counter
}

// next returns the counters for new objectives; those whose objective is
// unchanged go on.
func (old *counters) next(objectives map[string]settings.Objective) *counters {
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
