package settings_test

import (
	"fmt"
	"testing"

	"github.com/fireflygate/fireflygate/settings"
)

// BenchmarkClone copies a policy of the design size: 46 teams, ten services and
// classes, and 20 events.
func BenchmarkClone(b *testing.B) {
	s := settings.Default()
	s.Teams, s.Services = map[string]settings.Team{}, map[string]settings.Service{}
	s.Classes, s.Events = map[string]settings.Class{}, map[string]settings.Event{}
	for i := range 46 {
		s.Teams[fmt.Sprint("team-", i)] = settings.Team{Weight: 1}
	}
	for i := range 10 {
		s.Services[fmt.Sprint("service-", i)] = settings.Service{IdempotentMethods: []string{"GET", "HEAD"}}
		s.Classes[fmt.Sprint("class-", i)] = settings.Class{}
	}
	for i := range 20 {
		s.Events[fmt.Sprint("event-", i)] = settings.Event{Services: []string{"service-1"}}
	}
	b.ReportAllocs()
	for b.Loop() {
		if c := s.Clone(); len(c.Teams) != len(s.Teams) {
			b.Fatal("the clone has fewer teams")
		}
	}
}
