package faultproxy

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Proxy forwards TCP connections to a target. It is safe for concurrent use.
type Proxy struct {
	listener   net.Listener
	target     string
	closed     chan struct{}
	once       sync.Once
	goroutines sync.WaitGroup

	mu     sync.Mutex // guards the fields below
	faults Faults
	// changed is closed, and replaced, when the faults change.
	changed    chan struct{}
	links      map[*link]struct{}
	heldChunks int
}

// New starts a proxy that listens on listen, such as "127.0.0.1:0", and forwards
// connections to target. Both are IP:port.
func New(listen, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "start fault proxy")
	}
	p := &Proxy{
		listener: listener,
		target:   target,
		closed:   make(chan struct{}),
		changed:  make(chan struct{}),
		links:    map[*link]struct{}{},
	}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Addr returns the IP:port that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetFaults replaces the faults for all connections, including open ones.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// ResetAll resets every open connection.
func (p *Proxy) ResetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.reset()
	}
}

// Close stops listening, resets all connections and waits until they have ended.
func (p *Proxy) Close() error {
	var err error
	p.once.Do(func() {
		close(p.closed)
		err = p.listener.Close()
		p.ResetAll()
	})
	p.goroutines.Wait()
	return err
}

// HeldChunks returns the number of chunks that Freeze currently holds. An end of
// stream counts as one.
func (p *Proxy) HeldChunks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heldChunks
}

func (p *Proxy) addHeldChunks(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldChunks += n
}

func (p *Proxy) currentFaults() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if f, _ := p.currentFaults(); f.Refuse {
			client.Close()
			continue
		}
		p.goroutines.Go(func() { p.connect(client) })
	}
}

// connect forwards between a client and the target until the connection ends.
func (p *Proxy) connect(client net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	l := newLink(p, client, target)
	if p.add(l) {
		l.run()
	}
	l.reset()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// add registers a link. It returns false if the proxy is closed.
func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.closed:
		return false
	default:
		p.links[l] = struct{}{}
		return true
	}
}
