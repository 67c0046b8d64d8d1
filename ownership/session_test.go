package ownership

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
)

// renewal creates a machine at start and returns it with the transaction of its
// first renewal, also sent at start.
func renewal(t *testing.T, start time.Time, f flaws) (*Machine, Commit) {
	t.Helper()
	m := New(Config{Host: "a", Incarnation: "a-1", Lease: settings.Default().Lease, MaxRun: time.Second}, start)
	m.flaws = f
	read, ok := m.Tick(start)[0].(Read)
	if !ok {
		t.Fatal("the first action of a new machine is not a read")
	}
	for _, a := range m.RowsRead(start, read.ID, nil, nil) {
		if c, ok := a.(Commit); ok {
			return m, c
		}
	}
	t.Fatal("no renewal after the first read")
	return nil, Commit{}
}

func TestSessionExpiryCountsFromSending(t *testing.T) {
	start := time.Unix(1000, 0)
	session := settings.Default().Lease.Session.D()
	const answer = 3 * time.Second
	for late, f := range map[time.Duration]flaws{0: {}, answer: {expiryFromAnswer: true}} {
		m, c := renewal(t, start, f)
		m.Committed(start.Add(answer), c.ID, infra.CommitResult{Status: infra.CommitApplied, Version: 1})
		if got := m.session.liveUntil.Sub(start); got != session+late {
			t.Errorf("flaws %+v: session expires at an unexpected time, %v after its renewal was sent", f, got)
		}
	}
}

func TestLostRenewalIsReadBack(t *testing.T) {
	start := time.Unix(1000, 0)
	m, c := renewal(t, start, flaws{})
	m.Committed(start.Add(time.Second), c.ID, infra.CommitResult{})
	if m.sessionLive(start.Add(time.Second)) {
		t.Fatal("session is live after a renewal with an unknown result")
	}
	row := infra.Row{Key: SessionKey("a"), Value: c.Tx.Writes[0].Value, Version: 9}
	m.Tick(start.Add(2 * time.Second))
	m.KeysRead(start.Add(2*time.Second), m.read.id, []infra.Row{row}, nil, 1)
	if want := start.Add(settings.Default().Lease.Session.D()); !m.session.liveUntil.Equal(want) || m.session.version != 9 {
		t.Errorf("session is live until %v with version %d, want the end counted from sending, with version 9", m.session.liveUntil, m.session.version)
	}
}

func TestLaterProcessReplacesSession(t *testing.T) {
	start := time.Unix(1000, 0)
	m, c := renewal(t, start, flaws{})
	m.Committed(start, c.ID, infra.CommitResult{Status: infra.CommitApplied, Version: 1})
	other := infra.Row{Key: SessionKey("a"), Value: encode(SessionRow{Incarnation: "a-2", Counter: 1}), Version: 5}
	m.RowsRead(start, m.read.id, []infra.Row{other}, nil)
	if !m.excluded() || m.sessionLive(start) {
		t.Error("process is not excluded although a later process of its host holds the session")
	}
}
