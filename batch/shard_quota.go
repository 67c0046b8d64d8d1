package batch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/quota"
)

// storedDivision is a division of one team's quota as the table holds it.
type storedDivision struct {
	division quota.Division
	version  uint64
}

// setQuotas brings the teams' quotas into force. A team holds nothing here
// until a division gives it something.
func (s *Shard) setQuotas(quotas map[string]quota.Amount) {
	for team := range s.quotas {
		if _, ok := quotas[team]; !ok {
			s.planner.SetAllotment(team, quota.NewAmount(0, 0))
		}
	}
	before := s.quotas
	s.quotas = quotas
	for team, q := range quotas {
		a := s.allotment(team)
		a.SetQuota(q)
		s.allot(team, a)
		if was, ok := before[team]; !ok || was != q {
			s.noteQuota(team, q)
		}
	}
	for team := range before {
		if _, ok := quotas[team]; !ok {
			s.noteQuota(team, quota.NewAmount(0, 0))
		}
	}
}

// noteQuota tells operators, who lower a quota and see no job ended by it, that
// the planner keeps to it.
func (s *Shard) noteQuota(team string, q quota.Amount) {
	held := quota.NewAmount(0, 0)
	if q != held {
		held = s.allotment(team).Held()
	}
	used, _ := s.planner.TeamUsage(team)
	event.QuotaInForce.Log(s.log, slog.String("shard", s.name), slog.Uint64("epoch", s.epoch), slog.String("team", team),
		slog.Any("quota", q), slog.Any("held", held), slog.Any("used", used))
}

// allotment returns what the shard holds of a team's quota.
func (s *Shard) allotment(team string) *quota.Allotment {
	a, ok := s.allotments[team]
	if !ok {
		a = &quota.Allotment{}
		s.allotments[team] = a
	}
	return a
}

// beginAllotments takes in the divisions as they were read after the take-over.
func (s *Shard) beginAllotments(divisions map[string]storedDivision) {
	for team, d := range divisions {
		begun := quota.NewAllotment(d.version, d.division.Bounds[s.name])
		s.allotments[team] = &begun
	}
	s.setQuotas(s.quotas)
}

// allot has the planner keep to what is held.
func (s *Shard) allot(team string, a *quota.Allotment) {
	held := a.Held()
	if s.faults.wholeQuota {
		held = s.quotas[team]
	}
	s.planner.SetAllotment(team, held)
}

// divided takes in a division, comes down to the target as far as the team's
// use allows, and reports. It reports nothing before the replay or while the
// team has no quota here.
func (s *Shard) divided(team string, version uint64, b shardBound) (quota.Report, bool) {
	if _, ok := s.quotas[team]; !ok || !s.live() {
		return quota.Report{}, false
	}
	a := s.allotment(team)
	a.Apply(version, b.Bound)
	used, pending := s.planner.TeamUsage(team)
	a.Lower(b.Target, used)
	held := a.Report(version)
	s.allot(team, a)
	s.dirty = true
	return quota.Report{Capacity: s.planner.Capacity(), Used: used, Demand: pending, Held: held}, true
}

// wanting returns the teams whose pending jobs ask for more than the shard
// holds of their quotas.
func (s *Shard) wanting(now time.Time) []string {
	if !s.live() || s.pending == 0 || now.Before(s.nextWant) {
		return nil
	}
	s.nextWant = now.Add(wantEvery)
	var out []string
	for team := range s.quotas {
		used, pending := s.planner.TeamUsage(team)
		more := pending != (infra.Resources{})
		if more && !s.allotment(team).Held().Allows(used, pending) {
			out = append(out, team)
		}
	}
	return out
}

const (
	// divideEvery is how often a team's quota is divided anew, and
	// divideSoon while bounds still move or a shard waits for more.
	divideEvery = 30 * time.Second
	divideSoon  = time.Second
	// wantEvery is how often a shard looks for teams that wait.
	wantEvery = 250 * time.Millisecond
	// maxLowered bounds the bounds that one division lowers, since each is a
	// condition of its commit.
	maxLowered = 64
)
