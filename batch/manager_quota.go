package batch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/quota"
	"github.com/fireflygate/fireflygate/settings"
)

// teamDivision is the state between rounds of the host that divides a team's
// quota.
type teamDivision struct {
	// stored is the division in the table; known is set if it was read.
	stored storedDivision
	known  bool
	// targets are the amounts to which shards are to lower their allotments.
	targets    map[string]quota.Amount
	inProgress bool
	nextRound  time.Time
	// startedAt is when the last round started. rerun is set if a shard
	// requested another round since.
	startedAt time.Time
	rerun     bool
}

// expedite schedules the next round as soon as divideMinInterval allows.
func (d *teamDivision) expedite(now time.Time) {
	d.rerun = d.inProgress
	earliest := d.startedAt.Add(divideMinInterval)
	if now.After(earliest) {
		earliest = now
	}
	if earliest.Before(d.nextRound) {
		d.nextRound = earliest
	}
}

// finishRound stores the result of a round and schedules the next one.
func (d *teamDivision) finishRound(now time.Time, r *round) {
	d.stored, d.known, d.targets = r.stored, r.known, r.targets
	d.inProgress, d.nextRound = false, now.Add(r.nextDelay())
	if d.rerun {
		d.expedite(now)
	}
}

// quotasOf returns the quotas of the teams that have any.
func quotasOf(teams map[string]settings.Team) map[string]quota.Amount {
	out := map[string]quota.Amount{}
	for name, t := range teams {
		if q := quota.NewAmount(t.MilliCPU, t.MemoryMB); q.Bounded() {
			out[name] = q
		}
	}
	return out
}

// assignDividers assigns each team's quota to a host by rendezvous hashing over
// the owners of worker shards, and updates the divisions of this host. Hosts
// with different ownership snapshots may both divide a quota; the conditions of
// their commits make all but one fail.
func (m *Manager) assignDividers() {
	shards := m.shardsByOwner()
	hosts := slices.Sorted(maps.Keys(shards))
	clear(m.dividers)
	if len(hosts) > 0 {
		choice := rendezvous.New(hosts, xxhash.Sum64String)
		for team := range m.quotas {
			m.dividers[team] = choice.Lookup(team)
		}
	}
	for team, host := range m.dividers {
		if host == m.config.Host && m.divisions[team] == nil {
			m.divisions[team] = &teamDivision{}
		}
	}
	for team := range m.divisions {
		if m.dividers[team] != m.config.Host {
			delete(m.divisions, team)
		}
	}
}

// requestQuota requests another division of the quotas of teams whose pending
// jobs exceed their allotments in a local shard. It sends one request to each
// host that divides such a quota.
func (m *Manager) requestQuota(now time.Time) {
	waiting := map[string][]string{}
	for _, o := range m.shards {
		for _, team := range o.teamsWaitingForQuota(now) {
			host := m.dividers[team]
			if host != "" && !slices.Contains(waiting[host], team) {
				waiting[host] = append(waiting[host], team)
			}
		}
	}
	for host, teams := range waiting {
		request := quotaWantRequest{Teams: teams}
		m.goroutines.Go(func() { m.sendQuotaWant(host, request) })
	}
}

// sendQuotaWant sends one request to a host. A lost request is repeated after
// quotaCheckInterval.
func (m *Manager) sendQuotaWant(host string, request quotaWantRequest) {
	ctx, cancel := context.WithTimeout(m.context, exchangeTimeout)
	defer cancel()
	if host == m.config.Host {
		m.quotaWantLocal(ctx, request)
		return
	}
	var reply quotaWantReply
	m.config.Transport.Call(ctx, host, methodQuotaWant, request, &reply)
}

// shardsByOwner returns the last known worker shards of each host.
func (m *Manager) shardsByOwner() map[string][]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string][]string{}
	for shard, owner := range m.snapshot.Owners {
		if owner != "" && strings.HasPrefix(shard, workerShards) {
			out[owner] = append(out[owner], shard)
		}
	}
	return out
}

// startRounds starts the rounds that are due.
func (m *Manager) startRounds(now time.Time) {
	for team, d := range m.divisions {
		if d.inProgress || now.Before(d.nextRound) {
			continue
		}
		d.inProgress, d.rerun, d.startedAt = true, false, now
		r := &round{
			manager: m, team: team, quota: m.quotas[team], shards: m.shardsByOwner(),
			stored: d.stored, known: d.known, targets: d.targets,
		}
		m.goroutines.Go(func() {
			r.run(m.context)
			m.post(func(now time.Time) { d.finishRound(now, r) })
		})
	}
}

// readDivisions reads the divisions of all teams, skipping those that can't be
// decoded.
func (m *Manager) readDivisions(ctx context.Context) (map[string]storedDivision, error) {
	out := map[string]storedDivision{}
	after := ""
	for {
		rows, err := m.scan(ctx, quotaPrefix, after)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			after = row.Key
			d := storedDivision{version: row.Version}
			team, ok := quotaTeam(row.Key)
			if ok && msgpack.Unmarshal(row.Value, &d.division) == nil {
				out[team] = d
			}
		}
		if len(rows) < scanPageRows {
			return out, nil
		}
	}
}
