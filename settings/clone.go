package settings

import (
	"maps"
	"slices"
)

// Clone returns a deep copy.
func (s Settings) Clone() Settings {
	s.Services = cloneMap(s.Services, Service.Clone)
	s.Classes = maps.Clone(s.Classes)
	s.Teams = maps.Clone(s.Teams)
	s.Events = cloneMap(s.Events, Event.Clone)
	s.Zones = s.Zones.Clone()
	s.Objectives = maps.Clone(s.Objectives)
	return s
}

// Clone returns a deep copy.
func (s Service) Clone() Service {
	s.IdempotentMethods = slices.Clone(s.IdempotentMethods)
	return s
}

// Clone returns a deep copy.
func (e Event) Clone() Event {
	e.Services = slices.Clone(e.Services)
	return e
}

// cloneMap returns a copy of m with cloned values, or nil for nil.
func cloneMap[V any](m map[string]V, clone func(V) V) map[string]V {
	if m == nil {
		return nil
	}
	out := make(map[string]V, len(m))
	for name, v := range m {
		out[name] = clone(v)
	}
	return out
}
