package demo

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/gate"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
	"github.com/fireflygate/fireflygate/standin/httpclient"
)

// host is one entry host of the demo.
type host struct {
	name      string
	callers   string
	operators string
	gate      *gate.Gate
	listeners gate.Listeners
	stop      context.CancelFunc
	// ended is closed when Run has returned err.
	ended chan struct{}
	err   error
	// drained is set once it was told to drain.
	drained bool
}

// newHost returns an entry host that listens on free loopback ports.
func newHost(s settings.Settings, p *standin.Platform, log *slog.Logger) (*host, error) {
	const anyPort = "127.0.0.1:0"
	s.Host.Listen, s.Host.Operators, s.Host.Peer = anyPort, anyPort, anyPort
	g, err := gate.New(s, depsOf(p, s, log))
	if err != nil {
		return nil, err
	}
	l, err := gate.Listen(s.Host)
	if err != nil {
		return nil, err
	}
	h := &host{
		name:      s.Host.Name,
		callers:   "http://" + l.Callers.Addr().String(),
		operators: "http://" + l.Operators.Addr().String(),
		gate:      g,
		listeners: l,
		ended:     make(chan struct{}),
	}
	p.PutEntryHost(standin.EntryHostConfig{Name: h.name, Peer: l.Peers.Addr().String(), Zone: s.Host.Zone})
	return h, nil
}

func depsOf(p *standin.Platform, s settings.Settings, log *slog.Logger) gate.Deps {
	// There is no limit on all idle connections: workers are polled frequently,
	// and a host with more workers than the limit would open a new connection for
	// each poll.
	const idleConns = 64
	transport := &http.Transport{MaxIdleConnsPerHost: idleConns, IdleConnTimeout: time.Minute}
	client := &http.Client{Transport: transport, Timeout: s.Platform.Timeout.D()}
	a := p.Addresses()
	return gate.Deps{
		Table:   httpclient.NewTable(a.Table, client),
		Objects: httpclient.NewObjects(a.Objects, client),
		Members: httpclient.NewMembers(a.Members, client),
		Workers: httpclient.NewWorkers(client),
		Log:     log.With(slog.String("host", s.Host.Name)),
		Now:     time.Now,
		Build:   "demo",
	}
}

// start runs the host in the background until stop is called or it drains.
func (h *host) start(ctx context.Context) {
	ctx, h.stop = context.WithCancel(ctx)
	go func() {
		defer close(h.ended)
		h.err = h.gate.Run(ctx, h.listeners)
	}()
}

// drain stops the host, waits until its drain has ended and records both times. It
// does nothing if the host was drained before.
func (h *host) drain(recorder *check.Recorder) error {
	if h.drained {
		return nil
	}
	h.drained = true
	recorder.Add(check.Record{DrainBegan: &check.DrainBegan{Host: h.name}})
	h.stop()
	<-h.ended
	recorder.Add(check.Record{DrainEnded: &check.DrainEnded{Host: h.name}})
	return errors.Wrap(h.err, h.name)
}

// balancer stands in for the platform's balancer; it holds the ready hosts.
type balancer struct {
	mu    sync.Mutex
	hosts []*host
}

// targets returns the base URLs for callers of the hosts in the balancer.
func (b *balancer) targets() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]string, len(b.hosts))
	for i, h := range b.hosts {
		out[i] = h.callers
	}
	return out
}

// remove removes a host, as a balancer does with one that isn't ready.
func (b *balancer) remove(h *host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var remaining []*host
	for _, other := range b.hosts {
		if other != h {
			remaining = append(remaining, other)
		}
	}
	b.hosts = remaining
}
