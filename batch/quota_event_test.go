package batch

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/settings"
)

// TestQuotaInForceIsLogged checks that a shard logs a changed quota once its
// planner applies it, and nothing for an unchanged quota.
func TestQuotaInForceIsLogged(t *testing.T) {
	var log bytes.Buffer
	s := newShard(shard, 1, 1, limits{}, newFirstFit(), slog.New(slog.NewJSONHandler(&log, nil)), newMetrics(nil))
	for _, step := range []struct {
		teams map[string]settings.Team
		// logged are the expected quotas in the log by team, in thousandths of
		// a core.
		logged map[string]float64
	}{
		{map[string]settings.Team{"a": {MilliCPU: 4000}, "b": {}}, map[string]float64{"a": 4000}},
		{map[string]settings.Team{"a": {MilliCPU: 4000}, "b": {}}, nil},
		{map[string]settings.Team{"a": {MilliCPU: 2000}, "b": {MilliCPU: 1000}}, map[string]float64{"a": 2000, "b": 1000}},
		{map[string]settings.Team{"b": {MilliCPU: 1000}}, map[string]float64{"a": -1}},
	} {
		log.Reset()
		s.setPolicy(settings.Batch{}, placement.Options{Teams: step.teams}, quotasOf(step.teams))
		logged := map[string]float64{}
		for d := json.NewDecoder(&log); d.More(); {
			var line struct {
				Event int
				Team  string
				Quota struct{ MilliCPU float64 }
			}
			if err := d.Decode(&line); err != nil {
				t.Fatal(err)
			}
			if line.Event == event.QuotaApplied.Number {
				logged[line.Team] = line.Quota.MilliCPU
			}
		}
		if len(logged) != len(step.logged) {
			t.Errorf("%v: logged quotas %v, want %v", step.teams, logged, step.logged)
		}
		for team, want := range step.logged {
			if logged[team] != want {
				t.Errorf("%v: logged quota of team %s is %v, want %v", step.teams, team, logged[team], want)
			}
		}
	}
}
