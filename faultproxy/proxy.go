package faultproxy

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Proxy passes TCP connections on to a target.
type Proxy struct {
	listener net.Listener
	target   string
	closed   chan struct{}
	once     sync.Once
	running  sync.WaitGroup

	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	links   map[*link]struct{}
	held    int
}

// New listens on listen, such as "127.0.0.1:0", and passes connections on to
// target, IP:port.
func New(listen, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{
		listener: listener,
		target:   target,
		closed:   make(chan struct{}),
		changed:  make(chan struct{}),
		links:    map[*link]struct{}{},
	}
	p.running.Go(p.accept)
	return p, nil
}

// Addr returns the IP:port that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Set replaces the faults for all connections, open ones too.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// Cut resets every open connection.
func (p *Proxy) ResetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.reset()
	}
}

// Close stops the proxy, resets its connections and waits for their end.
func (p *Proxy) Close() error {
	var err error
	p.once.Do(func() {
		close(p.closed)
		err = p.listener.Close()
		p.ResetAll()
	})
	p.running.Wait()
	return err
}

// Held returns how many pieces of bytes a freeze holds now, an end of stream
// counting as one.
func (p *Proxy) HeldChunks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

func (p *Proxy) addHeld(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held += n
}

func (p *Proxy) get() (Faults, <-chan struct{}) {
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
		if f, _ := p.get(); f.Refuse {
			client.Close()
			continue
		}
		p.running.Go(func() { p.connect(client) })
	}
}

// connect links a client with the target until either ends.
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

// add registers a link; false once the proxy is closed.
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
