package gateway

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/internal/pipenet"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/routing"
)

// simConfig describes a simulated site.
type simConfig struct {
	seed uint64
	// owned lists how many endpoints, of simSlots slots, each host owns.
	owned []int
	// work is the median time that an endpoint takes for a request, peerDelay the
	// mean delay of a message between hosts.
	work, peerDelay time.Duration
	// rate is the number of requests per second that callers send to all hosts in
	// turn, timeout their deadline from the arrival at a host.
	rate    float64
	timeout time.Duration
}

const (
	simSlots = 4
	// simSigma is the spread of the logarithm of the endpoints' work time.
	simSigma = 0.4
)

// simSite is a site of gateways in virtual time: the gateways are real, the network
// between them, the endpoints and the callers are simulated. All processes but the
// callers can be paused.
type simSite struct {
	config  simConfig
	hosts   []*host
	running pauseGate
	cancel  context.CancelFunc
	ticks   sync.WaitGroup
	calls   sync.WaitGroup
	// messages counts the messages between hosts that are under way.
	messages sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	reasons map[string]int
	ended   int
}

// pauseGate blocks while the site is paused.
type pauseGate struct {
	mu      sync.Mutex
	resumed chan struct{} // nil while running
}

// wait returns once the site runs.
func (p *pauseGate) wait() {
	for {
		p.mu.Lock()
		c := p.resumed
		p.mu.Unlock()
		if c == nil {
			return
		}
		<-c
	}
}

// pauseFor pauses the site.
func (p *pauseGate) pauseFor(ctx context.Context, d time.Duration) {
	c := make(chan struct{})
	p.mu.Lock()
	p.resumed = c
	p.mu.Unlock()
	pause.For(ctx, d)
	p.mu.Lock()
	p.resumed = nil
	p.mu.Unlock()
	close(c)
}

// simPort delays the messages of a host and holds them back during a pause.
type simPort struct {
	peernet.Port
	site *simSite
}

// Call implements peer.Transport. As with the TCP transport, a call whose context has
// ended returns at once, and its reply is dropped.
func (p simPort) Call(ctx context.Context, host string, m peer.Method, request, reply any) peer.Result {
	p.site.delay()
	done := make(chan peer.Result, 1)
	p.site.messages.Go(func() {
		// The receiver doesn't know the caller's context.
		res := p.Port.Call(context.WithoutCancel(ctx), host, m, request, reply)
		p.site.delay()
		done <- res
	})
	select {
	case res := <-done:
		return res
	case <-ctx.Done():
		return peer.Result{Kind: outcome.Unknown, Err: ctx.Err()}
	}
}

// newSimSite starts a site whose hosts know each other's free slots.
func newSimSite(t *testing.T, c simConfig) *simSite {
	t.Helper()
	s := &simSite{config: c, rng: rand.New(rand.NewPCG(c.seed, 0)), reasons: map[string]int{}}
	ctx, cancel := context.WithCancel(t.Context())
	s.cancel = cancel
	listeners := map[string]*pipenet.Listener{}
	var endpoints []routing.Endpoint
	var owners []int
	for owner, n := range c.owned {
		for range n {
			name := "e" + strconv.Itoa(len(endpoints))
			listeners[name] = s.startEndpoint(t)
			endpoints = append(endpoints, routing.Endpoint{
				Name: name, Service: testService, Address: name + ":1", Zone: "z1", Shard: name,
				Slots: simSlots, Connections: 8 * simSlots,
			})
			owners = append(owners, owner)
		}
	}
	dial := func(_ context.Context, _, address string) (net.Conn, error) {
		return listeners[strings.TrimSuffix(address, ":1")].Dial(), nil
	}
	network := peernet.New()
	for i := range c.owned {
		name := fmt.Sprint("h", i)
		s.hosts = append(s.hosts, newHost(t, network, name, func(o *Options) {
			o.Seed, o.Dial, o.Peers = c.seed+uint64(i), dial, simPort{network.Port(name), s}
		}))
	}
	for i, h := range s.hosts {
		s.startHost(ctx, i, h, endpoints, owners)
	}
	return s
}

// startHost gives a host its grants and peers and starts its periodic work.
func (s *simSite) startHost(ctx context.Context, i int, h *host, endpoints []routing.Endpoint, owners []int) {
	var shards []string
	for e, owner := range owners {
		if owner == i {
			shards = append(shards, endpoints[e].Shard)
		}
	}
	var peers []PeerHost
	for j := range s.hosts {
		if j != i {
			peers = append(peers, PeerHost{Name: fmt.Sprint("h", j), Zone: "z1"})
		}
	}
	h.SetEndpoints(endpoints)
	h.grants.set(ownership.Full, shards...)
	h.SetPeers(peers)
	s.ticks.Go(func() {
		var sending sync.WaitGroup
		defer sending.Wait()
		for pause.For(ctx, digestInterval) {
			s.running.wait()
			h.tick(ctx, &sending)
		}
	})
}

// startEndpoint starts an endpoint.
func (s *simSite) startEndpoint(t *testing.T) *pipenet.Listener {
	t.Helper()
	l := pipenet.Listen()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		pause.For(r.Context(), s.workTime())
		s.running.wait()
		w.WriteHeader(http.StatusNoContent)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l
}

// workTime draws the time that an endpoint takes for a request.
func (s *simSite) workTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(s.config.work) * math.Exp(simSigma*s.rng.NormFloat64()))
}

// delay waits for the delay of a message, and for the end of a pause.
func (s *simSite) delay() {
	s.mu.Lock()
	d := time.Duration(s.rng.ExpFloat64() * float64(s.config.peerDelay))
	s.mu.Unlock()
	pause.For(context.Background(), d)
	s.running.wait()
}

// send sends requests for a time, in the background.
func (s *simSite) send(ctx context.Context, d time.Duration) {
	s.calls.Go(func() {
		end := time.Now().Add(d)
		for n := 0; time.Now().Before(end); n++ {
			s.mu.Lock()
			gap := time.Duration(s.rng.ExpFloat64() / s.config.rate * float64(time.Second))
			s.mu.Unlock()
			pause.For(ctx, gap)
			h := s.hosts[n%len(s.hosts)]
			s.calls.Go(func() { s.call(ctx, h) })
		}
	})
}

// call sends a request to a host, which reads it once it runs.
func (s *simSite) call(ctx context.Context, h *host) {
	s.running.wait()
	req := get("/")
	req.Deadline = time.Now().Add(s.config.timeout)
	resp, refusal := h.Call(ctx, req)
	if resp != nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended++
	if refusal.Kind != outcome.Answered {
		s.reasons[refusal.Reason]++
	}
}

// finish waits for all requests and stops the site.
func (s *simSite) finish(t *testing.T) {
	t.Helper()
	s.calls.Wait()
	s.cancel()
	s.ticks.Wait()
	s.messages.Wait()
	for _, h := range s.hosts {
		if err := h.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	}
}
