package gate

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
)

// TestDrainWithTheTableDown checks that a drain that can't hand over returns an
// error but still answers every call that has started.
func TestDrainWithTheTableDown(t *testing.T) {
	configure := func(c *standin.Config) {
		c.Services = []standin.ServiceConfig{{
			Name: "dispatch", Endpoints: 1, Slots: 2, Connections: 8, Work: standin.WorkTime{MedianMS: 300},
		}}
	}
	edit := func(s *settings.Settings) { s.Host.DrainTimeout = settings.Duration(4 * time.Second) }
	g, p, l := startGateAt(t, configure, edit, func(err error) {
		if err == nil {
			t.Error("Run returned nil though the host could not hand over its shards")
		}
	})
	eventually(t, "the endpoint's shard is owned in full", func() bool { return g.FullyOwnedShards() == 1 })
	url := "http://" + l.Callers.Addr().String() + "/call/dispatch/plan"
	if got, err := callOnce(url); got != outcome.Answered || err != nil {
		t.Fatalf("call before the drain: %s, want answered", got)
	}
	p.Table.Set(standin.Faults{Down: true})
	g.BeginDrain()
	answered := uint64(1)
	for {
		got, err := callOnce(url)
		if err != nil {
			break
		}
		if got == outcome.Answered {
			answered++
		}
	}
	// Calls whose connection was refused did not start.
	if ran := p.Endpoints[0].Stats().Began; ran != answered || answered < 2 {
		t.Errorf("%d calls ran and %d were answered, want equal numbers of at least 2", ran, answered)
	}
}

// callOnce sends a call on a new connection. It returns an error if no complete
// answer was received.
func callOnce(url string) (outcome.Kind, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return outcome.Unknown, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return outcome.Parse(resp.Header.Get(outcome.Header)), err
}
