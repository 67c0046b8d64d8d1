package batch

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/fireflygate/fireflygate/journal"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/task"
)

// Submit submits a job to one of the shards of its zones and returns once the
// job is durable. A repeated submission with the same idempotency key returns
// the existing job. The kind is NotRun, with a reason, if no job was created.
// Submit sets the spec's ID and submission time if they are unset.
func (m *Manager) Submit(ctx context.Context, spec task.Spec) (Status, outcome.Kind, string) {
	if spec.Team == "" || spec.Class == "" || spec.RunMS < 0 {
		return Status{}, outcome.NotRun, ReasonInvalidSpec
	}
	if spec.ID == "" {
		spec.ID = uuid.NewString()
	}
	if spec.SubmittedUnixMS == 0 {
		spec.SubmittedUnixMS = m.config.Now().UnixMilli()
	}
	reason := ReasonNoShardReady
	remaining := m.candidates(spec.Zones)
	if open := m.openShards(remaining); len(open) > 0 {
		remaining = open // in a closed zone the job would wait
	}
	for len(remaining) > 0 {
		shard := m.pick(remaining)
		remaining = slices.DeleteFunc(remaining, func(s string) bool { return s == shard })
		r, kind := m.submitTo(ctx, shard, spec)
		if kind == outcome.Unknown {
			return Status{ID: spec.ID, Shard: shard}, outcome.Unknown, ReasonAnswerLost
		}
		if done, st, k, why := m.submitResult(ctx, shard, r, kind); done {
			return st, k, why
		}
		if r.Code == submitNeverFits && kind == outcome.Answered {
			reason = ReasonNeverFits + ": " + r.Reason
		}
	}
	return Status{}, outcome.NotRun, reason
}

// submitResult converts a shard's reply to the result of Submit; false if
// another shard is to be tried. It also records the shard's load.
func (m *Manager) submitResult(ctx context.Context, shard string, r submitReply, kind outcome.Kind) (bool, Status, outcome.Kind, string) {
	if kind == outcome.NotRun {
		return false, Status{}, kind, ""
	}
	m.setLoad(shard, r.Load)
	switch r.Code {
	case submitAccepted:
		return true, r.Status, outcome.Answered, ""
	case submitExisting:
		return true, m.existing(ctx, r.Status), outcome.Answered, ""
	case submitKeyConflict:
		return true, r.Status, outcome.NotRun, ReasonKeyConflict
	case submitRefused:
		return true, Status{}, outcome.NotRun, ReasonStoreUnavailable
	case submitUnknown:
		return true, r.Status, outcome.Unknown, ReasonAnswerLost
	default:
		return false, Status{}, outcome.NotRun, ""
	}
}

// existing returns the full status of an existing job.
func (m *Manager) existing(ctx context.Context, s Status) Status {
	if full, kind, _ := m.Show(ctx, s.ID); kind == outcome.Answered {
		s = full
	}
	s.Existing = true
	return s
}

// setLoad records a shard's number of pending jobs.
func (m *Manager) setLoad(shard string, load int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads[shard] = load
}

// candidates returns the worker shards of the zones that have an owner; of all
// zones if none are given.
func (m *Manager) candidates(zones []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for shard, owner := range m.snapshot.Owners {
		if owner == "" || !strings.HasPrefix(shard, workerShards) {
			continue
		}
		if len(zones) == 0 || slices.Contains(zones, zoneOf(shard)) {
			out = append(out, shard)
		}
	}
	slices.Sort(out)
	return out
}

// openShards returns the shards whose availability zones aren't closed.
func (m *Manager) openShards(shards []string) []string {
	return slices.DeleteFunc(slices.Clone(shards), func(s string) bool { return !m.zoneOpen(zoneOf(s)) })
}

// zoneOpen reports whether an availability zone isn't closed.
func (m *Manager) zoneOpen(zone string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !slices.Contains(m.closedZones, zone)
}

// pick returns the less loaded of two randomly chosen shards.
func (m *Manager) pick(shards []string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := shards[m.config.Rand.IntN(len(shards))]
	b := shards[m.config.Rand.IntN(len(shards))]
	if m.loads[b] < m.loads[a] {
		return b
	}
	return a
}

// submitTo submits the job to the shard's owner.
func (m *Manager) submitTo(ctx context.Context, shard string, spec task.Spec) (submitReply, outcome.Kind) {
	request := submitRequest{Shard: shard, Spec: spec}
	return call[submitReply](ctx, m, shard, methodSubmit, request, func(ctx context.Context) (submitReply, bool) {
		return m.submitLocal(ctx, request)
	})
}

// submitLocal submits the job to a local shard; false if ctx ended first.
func (m *Manager) submitLocal(ctx context.Context, r submitRequest) (submitReply, bool) {
	return await(ctx, m, func(now time.Time, reply func(submitReply)) {
		o := m.shards[r.Shard]
		if o == nil || !o.grantValid(now) {
			reply(submitReply{Code: submitNotReady})
			return
		}
		o.submit(now, r.Spec, journal.SendBy(ctx, now), reply)
	})
}
