package gate

import (
	"context"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/journal"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/roster"
	"github.com/fireflygate/fireflygate/settings"
)

// TestDepartedSessionsAreDeleted checks that a sweep deletes the session row of a
// departed host after sessionRetention, but not one that is listed or renewed.
func TestDepartedSessionsAreDeleted(t *testing.T) {
	table := memtable.New()
	now := time.Unix(1000, 0)
	member := infra.Member{Kind: infra.EntryHost, Name: "listed", State: infra.Live}
	r := roster.Build(roster.Roster{}, infra.MemberList{Revision: 1, Members: []infra.Member{member}}, settings.Default().Lease)
	g := &Gate{deps: Deps{Table: table, Now: func() time.Time { return now }}}
	g.journal = journal.New(journal.Config{Table: table, Incarnation: "j", Settings: settings.Default().Batch, Timeout: time.Second})
	g.roster.Store(&r)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.journal.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	j := newJanitor(g)
	for _, host := range []string{"listed", "departed", "renewed"} {
		table.Put(ownership.SessionKey(host), []byte(host))
	}
	sweep := func() {
		rows, err := table.Scan(ctx, ownership.SessionPrefix, "", janitorPageSize)
		if err != nil {
			t.Fatal(err)
		}
		if now.After(time.Unix(1000, 0)) {
			// The process renews its session between the scan and the deletion.
			table.Put(ownership.SessionKey("renewed"), []byte("renewed"))
		}
		j.sweepSessions(ctx, rows)
	}
	sweep()
	now = now.Add(sessionRetention + time.Second)
	sweep()
	rows, err := table.Get(ctx, ownership.SessionKey("listed"), ownership.SessionKey("departed"), ownership.SessionKey("renewed"))
	if err != nil || rows[0].Version == 0 || rows[1].Version != 0 || rows[2].Version == 0 {
		t.Errorf("rows after the sweep: %+v: %v; want only the row of \"departed\" deleted", rows, err)
	}
}
