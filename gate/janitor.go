package gate

import (
	"context"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/ownership"
)

// Pace of the janitor.
const (
	// janitorInterval is the time between two rounds.
	janitorInterval = time.Minute
	// janitorScans bounds its scans a second.
	janitorScans = 2
	// janitorPage is how many rows one scan reads.
	janitorPage = 200
	// journalKeep is how long a journal's row must be seen unchanged, and its
	// process gone, before it is deleted.
	journalKeep = time.Hour
	// sessionKeep is the same for the session row of a host that left the
	// membership list.
	sessionKeep = time.Hour
	// janitorDuty is the name by which one host is chosen for the work.
	janitorDuty = "duty/janitor"
	// journalPrefix begins the keys of the journals' rows.
	journalPrefix = "journal/"
)

// janitor deletes rows that nobody needs any more: old claims, old burn
// sheets, journals of processes that are gone. One host at a time does it;
// two would only do the same work twice, since every deletion is safe.
type janitor struct {
	gate *Gate
	pace *rate.Limiter
	// seen is when each row of a process that is gone was first seen at its
	// version, of journals and of sessions.
	seen, seenSessions map[string]sighting
}

// sighting is a version of a row and when it was first seen.
type sighting struct {
	version uint64
	since   time.Time
}

func newJanitor(g *Gate) *janitor {
	return &janitor{gate: g, pace: rate.NewLimiter(janitorScans, 1), seen: map[string]sighting{}}
}

func (j *janitor) run(ctx context.Context) {
	ticker := time.NewTicker(janitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !j.mine("") {
			continue
		}
		for service := range j.gate.policy().Services {
			_, _ = j.gate.book.Sweep(ctx, service, j.pace, j.mine)
		}
		j.gate.slo.Sweep(ctx)
		j.sweepJournals(ctx)
	}
}

// mine reports whether this host has the duty now.
func (j *janitor) mine(string) bool {
	order := j.gate.roster.Load().PreferredOwners(janitorDuty)
	return len(order) > 0 && order[0] == j.gate.local.Host.Name && j.gate.State() == Ready
}

// sweepSessions deletes the rows of hosts that left the membership list, once
// they have not changed for long. A process that runs after all finds its row
// gone and opens its session anew.
func (j *janitor) sweepSessions(ctx context.Context, rows []infra.Row) {
	r := j.gate.roster.Load()
	next := map[string]sighting{}
	for _, row := range rows {
		if !r.Known() || r.Listed(strings.TrimPrefix(row.Key, ownership.SessionPrefix)) {
			continue
		}
		next[row.Key] = j.sight(j.seenSessions, row)
		if j.gate.deps.Now().Sub(next[row.Key].since) > sessionKeep {
			j.remove(ctx, row)
		}
	}
	j.seenSessions = next
}

// sweepJournals deletes the rows of journals that have not changed for long
// and whose process has no session.
func (j *janitor) sweepJournals(ctx context.Context) {
	sessions, ok := j.sessions(ctx)
	if !ok {
		return
	}
	j.sweepSessions(ctx, sessions)
	live := incarnations(sessions)
	next := map[string]sighting{}
	after := ""
	for {
		rows, ok := j.page(ctx, journalPrefix, after)
		if !ok {
			return
		}
		for _, row := range rows {
			after = row.Key
			if live[strings.TrimPrefix(row.Key, journalPrefix)] {
				continue
			}
			next[row.Key] = j.sight(j.seen, row)
			if j.gate.deps.Now().Sub(next[row.Key].since) > journalKeep {
				j.remove(ctx, row)
			}
		}
		if len(rows) < janitorPage {
			j.seen = next
			return
		}
	}
}

// sight returns since when a row has been seen unchanged.
func (j *janitor) sight(seen map[string]sighting, row infra.Row) sighting {
	if s, ok := seen[row.Key]; ok && s.version == row.Version {
		return s
	}
	return sighting{version: row.Version, since: j.gate.deps.Now()}
}

func (j *janitor) remove(ctx context.Context, row infra.Row) {
	j.gate.journal.Commit(ctx,
		[]infra.Condition{{Key: row.Key, Version: row.Version}},
		[]infra.Write{{Key: row.Key, Delete: true}})
}

// sessions returns every session row.
func (j *janitor) sessions(ctx context.Context) ([]infra.Row, bool) {
	var all []infra.Row
	after := ""
	for {
		rows, ok := j.page(ctx, ownership.SessionPrefix, after)
		if !ok {
			return nil, false
		}
		all = append(all, rows...)
		if len(rows) < janitorPage {
			return all, true
		}
		after = rows[len(rows)-1].Key
	}
}

// incarnations returns the processes that have a session row.
func incarnations(rows []infra.Row) map[string]bool {
	live := map[string]bool{}
	for _, row := range rows {
		if s, err := ownership.DecodeSessionRow(row.Value); err == nil {
			live[s.Incarnation] = true
		}
	}
	return live
}

// page reads one page of rows at the janitor's pace.
func (j *janitor) page(ctx context.Context, prefix, after string) ([]infra.Row, bool) {
	if err := j.pace.Wait(ctx); err != nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, j.gate.local.Platform.Timeout.D())
	defer cancel()
	rows, err := j.gate.deps.Table.Scan(ctx, prefix, after, janitorPage)
	return rows, err == nil
}
