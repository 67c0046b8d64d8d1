package ownership

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
)

// TestAlive asks about processes of another host while its session row is read
// repeatedly.
func TestAlive(t *testing.T) {
	start := time.Unix(1000, 0)
	lease := settings.Default().Lease
	m, c := renewal(t, start, flaws{})
	m.Committed(start, c.ID, infra.CommitResult{Status: infra.CommitApplied, Version: 1})
	row := infra.Row{Key: SessionKey("b"), Value: encode(SessionRow{Incarnation: "b-2", Counter: 1}), Version: 2}
	m.RowsRead(start, m.read.id, []infra.Row{row}, nil)
	now := start
	want := func(incarnation string, alive bool) {
		t.Helper()
		if got, _ := m.Alive(now, "b", incarnation, 1); got != alive {
			t.Errorf("after %v: process %s is alive: %v, want the opposite", now.Sub(start), incarnation, got)
		}
	}
	read := func(wait time.Duration) {
		m.KeysRead(now, m.read.id, nil, nil, 1)
		now = now.Add(wait)
		m.Tick(now)
		if m.read.id == 0 {
			t.Fatal("no read is in flight")
		}
		m.KeysRead(now, m.read.id, []infra.Row{row}, nil, 1)
	}
	now = now.Add(time.Millisecond)
	want("b-1", true) // A read sent before the question doesn't count.
	m.KeysRead(now, m.read.id, []infra.Row{row}, nil, 1)
	want("b-1", false)
	want("b-2", true)
	read(2 * time.Second)
	want("b-2", true)
	now = now.Add(10 * lease.Session.D())
	want("b-2", true) // The row wasn't read in the meantime.
	row.Version++
	read(2 * time.Second)
	want("b-2", true)
	read(lease.Session.D() + time.Second)
	want("b-2", false)
	now = now.Add(time.Millisecond)
	want("b-3", true) // This process hasn't been asked about before.
}

// TestProcessWithoutSessionIsAlive guards against a process that is taken for dead because
// its host's session row still is that of the process before it, or was deleted: it writes
// rows before it has opened its session.
func TestProcessWithoutSessionIsAlive(t *testing.T) {
	start := time.Unix(1000, 0)
	session := settings.Default().Lease.Session.D()
	for _, c := range []struct {
		name string
		row  infra.Row
	}{
		{"the session is of the process before", infra.Row{Key: SessionKey("b"), Value: encode(SessionRow{Incarnation: "b-1", Counter: 1}), Version: 2}},
		{"the row was deleted", infra.Row{Key: SessionKey("b")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, commit := renewal(t, start, flaws{})
			m.Committed(start, commit.ID, infra.CommitResult{Status: infra.CommitApplied, Version: 1})
			m.RowsRead(start, m.read.id, []infra.Row{c.row}, nil)
			const written = 5 // the version of a row that b-2 has written
			m.Alive(start, "b", "b-2", written)
			m.KeysRead(start, m.read.id, []infra.Row{c.row}, nil, 1)
			now := start.Add(session)
			m.Tick(now)
			m.KeysRead(now, m.read.id, []infra.Row{c.row}, nil, 1)
			if alive, _ := m.Alive(now, "b", "b-2", written); !alive {
				t.Error("b-2 counts as dead before it can have opened its session")
			}
			opened := infra.Row{Key: c.row.Key, Value: encode(SessionRow{Incarnation: "b-2", Counter: 1}), Version: 6}
			now = now.Add(session)
			m.Tick(now)
			m.KeysRead(now, m.read.id, []infra.Row{opened}, nil, 1)
			if alive, _ := m.Alive(now, "b", "b-2", written); !alive {
				t.Error("b-2 counts as dead although it has just opened its session")
			}
		})
	}
}

// TestProcessThatNeverOpensItsSessionIsDead guards against claims that stay in progress
// although the process that made them ended before it had opened its session.
func TestProcessThatNeverOpensItsSessionIsDead(t *testing.T) {
	start := time.Unix(1000, 0)
	lease := settings.Default().Lease
	m, commit := renewal(t, start, flaws{})
	m.Committed(start, commit.ID, infra.CommitResult{Status: infra.CommitApplied, Version: 1})
	row := infra.Row{Key: SessionKey("b"), Value: encode(SessionRow{Incarnation: "b-1", Counter: 1}), Version: 2}
	m.RowsRead(start, m.read.id, []infra.Row{row}, nil)
	m.Alive(start, "b", "b-2", 5)
	m.KeysRead(start, m.read.id, []infra.Row{row}, nil, 1)
	now := start.Add(m.cfg.lapseTime(Bounds{}) + lease.Session.D())
	m.Tick(now)
	m.KeysRead(now, m.read.id, []infra.Row{row}, nil, 1)
	if alive, _ := m.Alive(now, "b", "b-2", 5); alive {
		t.Error("b-2 counts as alive longer than it may take to open its session")
	}
}
