package gate

import (
	"context"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/ownership"
)

const (
	// janitorInterval is the time between two sweeps.
	janitorInterval       = time.Minute
	janitorScansPerSecond = 2
	// janitorPageSize is the largest number of rows that one scan reads.
	janitorPageSize = 200
	// journalRetention is how long a journal's row must be unchanged, and its
	// process without a session, before the row is deleted.
	journalRetention = time.Hour
	// sessionRetention is how long the session row of a host that isn't in the
	// membership list must be unchanged before it is deleted.
	sessionRetention = time.Hour
	// janitorDuty is the key that selects the host that runs the janitor.
	janitorDuty = "duty/janitor"
	// journalPrefix is the key prefix of journal rows.
	journalPrefix = "journal/"
)

// janitor deletes obsolete rows: old booking claims, old burn counts, journals
// of terminated processes and sessions of departed hosts. One host runs it at a
// time. Deletions are conditional, so two janitors only duplicate work.
type janitor struct {
	gate    *Gate
	limiter *rate.Limiter
	// The last sweep's observations by row key, for journals without a session
	// and for sessions of departed hosts.
	seenJournals, seenSessions map[string]observation
}

// observation is the version of a row and when that version was first seen.
type observation struct {
	version uint64
	since   time.Time
}

func newJanitor(g *Gate) *janitor {
	return &janitor{gate: g, limiter: rate.NewLimiter(janitorScansPerSecond, 1), seenJournals: map[string]observation{}}
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
		if !j.onDuty("") {
			continue
		}
		for service := range j.gate.policy().Services {
			_, _ = j.gate.bookings.Sweep(ctx, service, j.limiter, j.onDuty)
		}
		j.gate.slo.Sweep(ctx)
		j.sweepJournals(ctx)
	}
}

// onDuty reports whether this host is ready and the one that runs the janitor.
func (j *janitor) onDuty(string) bool {
	order := j.gate.roster.Load().PreferredOwners(janitorDuty)
	return len(order) > 0 && order[0] == j.gate.local.Host.Name && j.gate.State() == Ready
}

// sweepSessions deletes the session rows of hosts that left the membership list
// after sessionRetention without a change. A process that still runs finds its
// row deleted and opens a new session.
func (j *janitor) sweepSessions(ctx context.Context, rows []infra.Row) {
	r := j.gate.roster.Load()
	next := map[string]observation{}
	for _, row := range rows {
		if !r.Known() || r.Listed(strings.TrimPrefix(row.Key, ownership.SessionPrefix)) {
			continue
		}
		next[row.Key] = j.observe(j.seenSessions, row)
		if j.gate.deps.Now().Sub(next[row.Key].since) > sessionRetention {
			j.deleteRow(ctx, row)
		}
	}
	j.seenSessions = next
}

// sweepJournals deletes the journal rows of processes without a session after
// journalRetention without a change. It also sweeps sessions.
func (j *janitor) sweepJournals(ctx context.Context) {
	sessions, ok := j.sessions(ctx)
	if !ok {
		return
	}
	j.sweepSessions(ctx, sessions)
	live := incarnations(sessions)
	next := map[string]observation{}
	after := ""
	for {
		rows, ok := j.scanPage(ctx, journalPrefix, after)
		if !ok {
			return
		}
		for _, row := range rows {
			after = row.Key
			if live[strings.TrimPrefix(row.Key, journalPrefix)] {
				continue
			}
			next[row.Key] = j.observe(j.seenJournals, row)
			if j.gate.deps.Now().Sub(next[row.Key].since) > journalRetention {
				j.deleteRow(ctx, row)
			}
		}
		if len(rows) < janitorPageSize {
			j.seenJournals = next
			return
		}
	}
}

// observe returns a row's version and when it was first seen. seen holds the
// observations of the last sweep.
func (j *janitor) observe(seen map[string]observation, row infra.Row) observation {
	if s, ok := seen[row.Key]; ok && s.version == row.Version {
		return s
	}
	return observation{version: row.Version, since: j.gate.deps.Now()}
}

func (j *janitor) deleteRow(ctx context.Context, row infra.Row) {
	j.gate.journal.Commit(ctx,
		[]infra.Condition{{Key: row.Key, Version: row.Version}},
		[]infra.Write{{Key: row.Key, Delete: true}})
}

// sessions returns all session rows; false if a scan failed.
func (j *janitor) sessions(ctx context.Context) ([]infra.Row, bool) {
	var all []infra.Row
	after := ""
	for {
		rows, ok := j.scanPage(ctx, ownership.SessionPrefix, after)
		if !ok {
			return nil, false
		}
		all = append(all, rows...)
		if len(rows) < janitorPageSize {
			return all, true
		}
		after = rows[len(rows)-1].Key
	}
}

// incarnations returns the incarnations that have a session row.
func incarnations(rows []infra.Row) map[string]bool {
	live := map[string]bool{}
	for _, row := range rows {
		if s, err := ownership.DecodeSessionRow(row.Value); err == nil {
			live[s.Incarnation] = true
		}
	}
	return live
}

// scanPage reads one page of rows, subject to the rate limit. It returns false
// if the scan failed or ctx ended.
func (j *janitor) scanPage(ctx context.Context, prefix, after string) ([]infra.Row, bool) {
	if err := j.limiter.Wait(ctx); err != nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, j.gate.local.Platform.Timeout.D())
	defer cancel()
	rows, err := j.gate.deps.Table.Scan(ctx, prefix, after, janitorPageSize)
	return rows, err == nil
}
