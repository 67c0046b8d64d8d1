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
		if got, _ := m.Alive(now, "b", incarnation); got != alive {
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
