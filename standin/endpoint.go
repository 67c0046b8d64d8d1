package standin

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/check"
)

// Endpoint is a stand-in for one instance of an interactive service. It completes
// every request, even if the caller disconnects, and records its work. It doesn't
// enforce its slot limit, so that its records show overruns.
type Endpoint struct {
	config EndpointConfig

	mu      sync.Mutex
	life    *endpointLife
	faults  EndpointFaults
	changed chan struct{}
	leaving bool
	random  *rand.Rand
	stats   EndpointStats
	conns   map[net.Conn]struct{}
}

// NewEndpoint returns an endpoint without faults.
func NewEndpoint(config EndpointConfig) *Endpoint {
	return &Endpoint{
		config:  config,
		life:    newEndpointLife(1),
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(config.Work.Seed, 0)),
		conns:   map[net.Conn]struct{}{},
	}
}

// Set replaces the faults.
func (e *Endpoint) Set(f EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	close(e.changed)
	e.changed = make(chan struct{})
}

// Faults returns the current faults.
func (e *Endpoint) Faults() EndpointFaults {
	f, _ := e.get()
	return f
}

func (e *Endpoint) get() (EndpointFaults, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.changed
}

// SetLeaving sets whether the endpoint is leaving. A leaving endpoint still serves;
// requests that begin meanwhile are counted in AfterLeaving.
func (e *Endpoint) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Stats returns the current statistics.
func (e *Endpoint) Stats() EndpointStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Running = e.life.running
	return s
}

// Close aborts all requests, as a crash would.
func (e *Endpoint) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life.end()
}

// Restart aborts all requests and begins another life of the endpoint under its name,
// whose requests are numbered anew.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life.end()
	e.life = newEndpointLife(e.life.number + 1)
}

// begin starts a request and records it; ok is false if it is refused.
func (e *Endpoint) begin(in *endpointRequest) (ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	full := e.life.running >= e.config.Slots
	if e.faults.Refuse || (full && e.faults.RefuseOverrun) {
		e.stats.Refused++
		return false
	}
	e.life.serial++
	e.life.running++
	in.life, in.serial = e.life, e.life.serial
	e.stats.Began++
	e.stats.Peak = max(e.stats.Peak, e.life.running)
	if full {
		e.stats.Overruns++
	}
	if e.leaving {
		e.stats.AfterLeaving++
	}
	e.config.Recorder.Add(check.Record{RequestBegan: in.began(e.config)})
	return true
}

// end releases the slot of a request and records its end.
func (e *Endpoint) end(in *endpointRequest, callerDisconnected bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	in.life.running--
	e.stats.Ended++
	if callerDisconnected {
		e.stats.Orphans++
	}
	e.config.Recorder.Add(check.Record{RequestEnded: &check.RequestEnded{
		Endpoint: e.config.Name, Life: in.life.number, Serial: in.serial, CallerDisconnected: callerDisconnected,
	}})
}

// workTime returns the processing time of a request.
func (e *Endpoint) workTime(in *endpointRequest) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.FailAll {
		return 0
	}
	d := in.work
	if d < 0 {
		d = e.config.Work.draw(e.random)
	}
	if e.faults.SlowFactor > 0 {
		d = time.Duration(float64(d) * e.faults.SlowFactor)
	}
	return d
}

// truncateNext reports whether to truncate the next response, and counts it.
func (e *Endpoint) truncateNext() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutNext == 0 {
		return false
	}
	e.faults.CutNext--
	return true
}

// work blocks for d and while the Hang fault is set, or until the life that the request
// is of has ended. It ignores the caller's disconnection.
func (e *Endpoint) work(l *endpointLife, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.closed:
		return
	}
	for {
		f, changed := e.get()
		if !f.Hang {
			return
		}
		select {
		case <-changed:
		case <-l.closed:
			return
		}
	}
}

// ConnState counts open connections, as the ConnState hook of http.Server.
func (e *Endpoint) ConnState(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	}
	e.stats.PeakConnections = max(e.stats.PeakConnections, len(e.conns))
}

// Name returns the endpoint's name in the membership list.
func (e *Endpoint) Name() string { return e.config.Name }
