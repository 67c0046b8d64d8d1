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
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	faults  EndpointFaults
	changed chan struct{}
	leaving bool
	random  *rand.Rand
	serial  uint64
	stats   EndpointStats
	conns   map[net.Conn]struct{}
}

// NewEndpoint returns an endpoint without faults.
func NewEndpoint(config EndpointConfig) *Endpoint {
	return &Endpoint{
		config:  config,
		closed:  make(chan struct{}),
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
	return e.stats
}

// Close aborts all requests, as a crash would.
func (e *Endpoint) Close() {
	e.once.Do(func() { close(e.closed) })
}

// begin starts a request and records it; ok is false if it is refused.
func (e *Endpoint) begin(in *endpointRequest) (ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	full := e.stats.Running >= e.config.Slots
	if e.faults.Refuse || (full && e.faults.RefuseOverrun) {
		e.stats.Refused++
		return false
	}
	e.serial++
	in.serial = e.serial
	e.stats.Began++
	e.stats.Running++
	e.stats.Peak = max(e.stats.Peak, e.stats.Running)
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
	e.stats.Running--
	e.stats.Ended++
	if callerDisconnected {
		e.stats.Orphans++
	}
	e.config.Recorder.Add(check.Record{RequestEnded: &check.RequestEnded{
		Endpoint: e.config.Name, Serial: in.serial, CallerDisconnected: callerDisconnected,
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

// work blocks for d and while the Hang fault is set, or until the endpoint is
// closed. It ignores the caller's disconnection.
func (e *Endpoint) work(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.closed:
		return
	}
	for {
		f, changed := e.get()
		if !f.Hang {
			return
		}
		select {
		case <-changed:
		case <-e.closed:
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
