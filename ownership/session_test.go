package ownership

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
)

// renewal starts a machine at start and returns the transaction of its first
// renewal, sent at start.
func renewal(t *testing.T, start time.Time, f flaws) (*Machine, Commit) {
	t.Helper()
	m := New(Config{Host: "a", Incarnation: "a-1", Lease: settings.Default().Lease, MaxRun: time.Second}, start)
	m.flaws = f
	read, ok := m.Tick(start)[0].(Read)
	if !ok {
		t.Fatal("a new machine does not read first")
	}
	for _, a := range m.RowsRead(start, read.ID, nil, nil) {
		if c, ok := a.(Commit); ok {
			return m, c
		}
	}
	t.Fatal("no renewal")
	return nil, Commit{}
}

func TestExpiryCountsFromBeforeSending(t *testing.T) {
	start := time.Unix(1000, 0)
	session := settings.Default().Lease.Session.D()
	const answer = 3 * time.Second
	for late, f := range map[time.Duration]flaws{0: {}, answer: {expiryFromAnswer: true}} {
		m, c := renewal(t, start, f)
		m.Committed(start.Add(answer), c.ID, infra.CommitResult{Status: infra.CommitApplied, Version: 1})
		if got := m.session.liveUntil.Sub(start); got != session+late {
			t.Errorf("flaws %+v: the session lives for %v after sending", f, got)
		}
	}
}

func TestLostRenewalIsReadBack(t *testing.T) {
	start := time.Unix(1000, 0)
	m, c := renewal(t, start, flaws{})
	m.Committed(start.Add(time.Second), c.ID, infra.CommitResult{})
	if m.sessionLive(start.Add(time.Second)) {
		t.Fatal("a session lives by a renewal of unknown result")
	}
	row := infra.Row{Key: SessionKey("a"), Value: c.Tx.Writes[0].Value, Version: 9}
	m.Tick(start.Add(2 * time.Second))
	m.KeysRead(start.Add(2*time.Second), m.read.id, []infra.Row{row}, nil, 1)
	if want := start.Add(settings.Default().Lease.Session.D()); !m.session.liveUntil.Equal(want) || m.session.version != 9 {
		t.Errorf("lives until %v with version %d", m.session.liveUntil, m.session.version)
	}
}

func TestLaterProcessReplaces(t *testing.T) {
	start := time.Unix(1000, 0)
	m, c := renewal(t, start, flaws{})
	m.Committed(start, c.ID, infra.CommitResult{Status: infra.CommitApplied, Version: 1})
	other := infra.Row{Key: SessionKey("a"), Value: encode(SessionRow{Incarnation: "a-2", Counter: 1}), Version: 5}
	m.RowsRead(start, m.read.id, []infra.Row{other}, nil)
	if !m.excluded() || m.sessionLive(start) {
		t.Error("goes on beside a later process of its host")
	}
}
