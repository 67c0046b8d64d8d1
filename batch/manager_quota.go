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

// division is what the host that divides a team's quota keeps between rounds.
type division struct {
	stored  storedDivision
	known   bool
	targets map[string]quota.Amount
	busy    bool
	next    time.Time
	// began is when the last round began, and hurried is set when a shard
	// asked for the next one meanwhile.
	began   time.Time
	hurried bool
}

// hasten has the next round come as soon as rounds may follow each other.
func (d *division) hasten(now time.Time) {
	d.hurried = d.busy
	soon := d.began.Add(divideSoon)
	if now.After(soon) {
		soon = now
	}
	if soon.Before(d.next) {
		d.next = soon
	}
}

// ended takes in a round.
func (d *division) ended(now time.Time, r *round) {
	d.stored, d.known, d.targets = r.stored, r.known, r.targets
	d.busy, d.next = false, now.Add(r.wait())
	if d.hurried {
		d.hasten(now)
	}
}

// quotasOf returns the quotas of the teams that have one.
func quotasOf(teams map[string]settings.Team) map[string]quota.Amount {
	out := map[string]quota.Amount{}
	for name, t := range teams {
		if q := quota.NewAmount(t.MilliCPU, t.MemoryMB); q.Bounded() {
			out[name] = q
		}
	}
	return out
}

// assignDuties keeps the divisions of the teams that fall to this host, by
// rendezvous hashing over the owners of worker shards. Two hosts that see
// different owners may both divide for a while; the table lets one win.
func (m *Manager) assignDuties() {
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
			m.divisions[team] = &division{}
		}
	}
	for team := range m.divisions {
		if m.dividers[team] != m.config.Host {
			delete(m.divisions, team)
		}
	}
}

// askForMore tells the hosts that divide of teams that wait in shards here.
func (m *Manager) askForMore(now time.Time) {
	wants := map[string][]string{}
	for _, o := range m.shards {
		for _, team := range o.wanting(now) {
			host := m.dividers[team]
			if host != "" && !slices.Contains(wants[host], team) {
				wants[host] = append(wants[host], team)
			}
		}
	}
	for host, teams := range wants {
		request := wantRequest{Teams: teams}
		m.tasks.Go(func() { m.want(host, request) })
	}
}

// want sends one word to a host. If it is lost, another follows.
func (m *Manager) want(host string, request wantRequest) {
	ctx, cancel := context.WithTimeout(m.context, exchangeTimeout)
	defer cancel()
	if host == m.config.Host {
		m.wantHere(ctx, request)
		return
	}
	var reply wantReply
	m.config.Transport.Call(ctx, host, methodQuotaWant, request, &reply)
}

// shardsByOwner returns the worker shards of each host, as last known.
func (m *Manager) shardsByOwner() map[string][]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string][]string{}
	for shard, owner := range m.view.Owners {
		if owner != "" && strings.HasPrefix(shard, workerShards) {
			out[owner] = append(out[owner], shard)
		}
	}
	return out
}

// divide begins the rounds that are due.
func (m *Manager) divide(now time.Time) {
	for team, d := range m.divisions {
		if d.busy || now.Before(d.next) {
			continue
		}
		d.busy, d.hurried, d.began = true, false, now
		r := &round{
			manager: m, team: team, quota: m.quotas[team], shards: m.shardsByOwner(),
			stored: d.stored, known: d.known, targets: d.targets,
		}
		m.tasks.Go(func() {
			r.run(m.context)
			m.post(func(now time.Time) { d.ended(now, r) })
		})
	}
}

// readDivisions reads the divisions of all teams.
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
		if len(rows) < scanPage {
			return out, nil
		}
	}
}
