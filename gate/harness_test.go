package gate

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
	"github.com/fireflygate/fireflygate/standin/httpclient"
)

// startGate runs one entry host with stand-ins until the test ends.
func startGate(t *testing.T, edit func(*settings.Settings)) (*Gate, *standin.Platform, Listeners) {
	t.Helper()
	return startGateAt(t, func(*standin.Config) {}, edit, func(err error) {
		if err != nil {
			t.Errorf("drain: %v", err)
		}
	})
}

// startGateAt is startGate with a changed configuration of the stand-ins. When the
// test ends, it passes the result of Run to onReturn.
func startGateAt(t *testing.T, configure func(*standin.Config), edit func(*settings.Settings), onReturn func(error)) (*Gate, *standin.Platform, Listeners) {
	t.Helper()
	c := standin.DefaultConfig()
	c.Services, c.Workers.Count = nil, 0
	configure(&c)
	p, err := standin.Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	s := settings.Default()
	s.Host.Name, s.Host.Region, s.Host.Zone = "gate-1", c.Region, c.Zones[0]
	s.Host.Listen, s.Host.Operators, s.Host.Peer = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Host.DrainDelay = settings.Duration(time.Millisecond)
	s.Platform.MembersInterval = settings.Duration(50 * time.Millisecond)
	edit(&s)
	g, err := New(s, Deps{
		Table: p.Table, Objects: p.Objects, Members: p.Members, Workers: httpclient.NewWorkers(http.DefaultClient),
		Log: slog.New(slog.DiscardHandler), Now: time.Now, Build: "test",
	})
	if err != nil {
		t.Fatal(err)
	}
	l, err := Listen(s.Host)
	if err != nil {
		t.Fatal(err)
	}
	p.PutEntryHost(standin.EntryHostConfig{Name: s.Host.Name, Peer: l.Peers.Addr().String(), Zone: s.Host.Zone})
	ctx, stop := context.WithCancel(context.Background())
	returned := make(chan error, 1)
	go func() { returned <- g.Run(ctx, l) }()
	t.Cleanup(func() {
		stop()
		onReturn(<-returned)
	})
	return g, p, l
}

// eventually polls until ok returns true. It fails the test after a timeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			t.Fatal("timed out waiting until: " + what)
		case <-ticker.C:
		}
	}
}
