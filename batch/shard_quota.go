package batch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/quota"
)

// storedDivision is the division of a team's quota with the version of its row.
type storedDivision struct {
	division quota.Division
	version  uint64
}

// setQuotas applies the teams' quotas. A team's allotment is zero until a
// division assigns a bound to this shard.
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
		s.applyAllotment(team, a)
		if previous, ok := before[team]; !ok || previous != q {
			s.logQuota(team, q)
		}
	}
	for team := range before {
		if _, ok := quotas[team]; !ok {
			s.logQuota(team, quota.NewAmount(0, 0))
		}
	}
}

// logQuota logs that the planner applies a quota. Operators need this because
// lowering a quota ends no running job.
func (s *Shard) logQuota(team string, q quota.Amount) {
	held := quota.NewAmount(0, 0)
	if q != held {
		held = s.allotment(team).Held()
	}
	used, _ := s.planner.TeamUsage(team)
	event.QuotaApplied.Log(s.log, slog.String("shard", s.name), slog.Uint64("epoch", s.epoch), slog.String("team", team),
		slog.Any("quota", q), slog.Any("held", held), slog.Any("used", used))
}

// allotment returns the shard's allotment of a team's quota, creating it if
// necessary.
func (s *Shard) allotment(team string) *quota.Allotment {
	a, ok := s.allotments[team]
	if !ok {
		a = &quota.Allotment{}
		s.allotments[team] = a
	}
	return a
}

// loadAllotments sets the allotments from the divisions read after the
// takeover.
func (s *Shard) loadAllotments(divisions map[string]storedDivision) {
	for team, d := range divisions {
		begun := quota.NewAllotment(d.version, d.division.Bounds[s.name])
		s.allotments[team] = &begun
	}
	s.setQuotas(s.quotas)
}

// applyAllotment passes the team's allotment to the planner.
func (s *Shard) applyAllotment(team string, a *quota.Allotment) {
	held := a.Held()
	if s.faults.wholeQuota {
		held = s.quotas[team]
	}
	s.planner.SetAllotment(team, held)
}

// applyDivision applies a division, lowers the allotment to the target as far as
// usage allows, and returns a report. It returns false before the replay is
// complete and for teams without a quota.
func (s *Shard) applyDivision(team string, version uint64, b shardBound) (quota.Report, bool) {
	if _, ok := s.quotas[team]; !ok || !s.acceptsWork() {
		return quota.Report{}, false
	}
	a := s.allotment(team)
	a.Apply(version, b.Bound)
	used, pending := s.planner.TeamUsage(team)
	a.Lower(b.Target, used)
	held := a.Report(version)
	s.applyAllotment(team, a)
	s.planNeeded = true
	return quota.Report{Capacity: s.planner.Capacity(), Used: used, Demand: pending, Held: held}, true
}

// teamsWaitingForQuota returns the teams whose usage and pending jobs exceed
// their allotments. It checks this at most once per quotaCheckInterval and
// returns none in between.
func (s *Shard) teamsWaitingForQuota(now time.Time) []string {
	if !s.acceptsWork() || s.pending == 0 || now.Before(s.nextQuotaCheck) {
		return nil
	}
	s.nextQuotaCheck = now.Add(quotaCheckInterval)
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
	// divideInterval is the interval between divisions of a team's quota, and
	// divideMinInterval the one while bounds change or a shard needs more.
	divideInterval    = 30 * time.Second
	divideMinInterval = time.Second
	// quotaCheckInterval is how often a shard checks whether teams need more
	// quota.
	quotaCheckInterval = 250 * time.Millisecond
	// maxLowered is the largest number of bounds that one division lowers;
	// each adds a condition to the commit.
	maxLowered = 64
)
