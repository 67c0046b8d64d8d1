package gate

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
	"github.com/fireflygate/fireflygate/task"
)

// apply stores a changed policy with the given base version.
func apply(t *testing.T, g *Gate, base uint64, change func(*settings.Settings)) {
	t.Helper()
	s := g.policy()
	change(&s)
	content, err := settings.MarshalPolicy(s)
	if err != nil {
		t.Fatal(err)
	}
	r := g.store.Apply(t.Context(), configstore.Change{Base: base, Author: "test", Content: content})
	if r.Status != configstore.Accepted {
		t.Fatalf("apply: %+v", r)
	}
}

// TestAppliedQuotaReachesPlanners checks that running planners use a quota that
// is applied, and then a larger one.
func TestAppliedQuotaReachesPlanners(t *testing.T) {
	configure := func(c *standin.Config) { c.Workers.Count = 2 }
	edit := func(s *settings.Settings) {
		s.Platform.ConfigInterval = settings.Duration(50 * time.Millisecond)
		s.Teams = map[string]settings.Team{"routes": {Weight: 1}}
	}
	g, _, _ := startGateAt(t, configure, edit, func(error) {})
	running := func(want int) func() bool { return func() bool { return g.batch.Counts().Running == want } }
	submit := func(from, to int) {
		for i := from; i < to; i++ {
			spec := task.Spec{
				ID: fmt.Sprint("job-", i), Key: fmt.Sprint("key-", i), Team: "routes", Class: "plan", QoS: task.Batch,
				Resources: infra.Resources{MilliCPU: 1000, MemoryMB: 100}, RunMS: time.Hour.Milliseconds(),
			}
			eventually(t, spec.ID+" is accepted", func() bool {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, kind, _ := g.batch.Submit(ctx, spec)
				return kind == outcome.Answered
			})
		}
	}
	submit(0, 4)
	eventually(t, "four jobs run without a quota", running(4))
	apply(t, g, 0, func(s *settings.Settings) { s.Teams["routes"] = settings.Team{Weight: 1, MilliCPU: 2000} })
	eventually(t, "the quota is in force", func() bool { return g.policy().Teams["routes"].MilliCPU == 2000 })
	// Current returns a version before all subscribers were called with it. An
	// offer is handled after that, even one that is too old to be applied.
	g.watcher.ApplyIfNewer(configstore.Offer{})
	submit(4, 8)
	eventually(t, "a job waits for the quota", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		s, kind, _ := g.batch.Show(ctx, "job-4")
		return kind == outcome.Answered && strings.Contains(s.Explanation, "quota of team routes is used up")
	})
	apply(t, g, 1, func(s *settings.Settings) { s.Teams["routes"] = settings.Team{Weight: 1, MilliCPU: 6000} })
	eventually(t, "six jobs run with a quota of six cores", running(6))
	if c := g.batch.Counts(); c.Pending != 2 {
		t.Errorf("counts %+v, want 2 pending jobs", c)
	}
}
