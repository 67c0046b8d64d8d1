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

// TestDrainWithTheTableDown stops a host that can't hand over, under calls one
// after the other: none is cut off, though the stop can't be a whole one.
func TestDrainWithTheTableDown(t *testing.T) {
	site := func(c *standin.Config) {
		c.Services = []standin.ServiceConfig{{
			Name: "dispatch", Endpoints: 1, Slots: 2, Connections: 8, Work: standin.WorkTime{MedianMS: 300},
		}}
	}
	edit := func(s *settings.Settings) { s.Host.DrainTimeout = settings.Duration(4 * time.Second) }
	g, p, l := startGateAt(t, site, edit, func(err error) {
		if err == nil {
			t.Error("a host that could not hand over calls its drain whole")
		}
	})
	eventually(t, "the endpoint's shard", func() bool { return g.FullyOwnedShards() == 1 })
	url := "http://" + l.Callers.Addr().String() + "/call/dispatch/plan"
	if got, err := callOnce(url); got != outcome.Answered || err != nil {
		t.Fatalf("before: %s", got)
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
	// A connection that nobody took runs nothing; all that ran was answered.
	if ran := p.Endpoints[0].Stats().Began; ran != answered || answered < 2 {
		t.Errorf("%d calls ran and %d were answered", ran, answered)
	}
}

// callOnce sends a call on a connection of its own. The error is set when no
// whole answer came.
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
