package gateway

import (
	"net"
	"sync"
)

// callerListener limits the open connections per caller address.
type callerListener struct {
	net.Listener
	limit func() int

	mu   sync.Mutex
	open map[string]int
}

// LimitConnections returns a listener that immediately closes connections
// beyond limit from one IP address. Zero is no limit. The function limit is
// called for each new connection.
func LimitConnections(l net.Listener, limit func() int) net.Listener {
	return &callerListener{Listener: l, limit: limit, open: map[string]int{}}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip := ipOf(c.RemoteAddr())
		if l.acquire(ip) {
			return &callerConn{Conn: c, closed: func() { l.release(ip) }}, nil
		}
		c.Close()
	}
}

func (l *callerListener) acquire(ip string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit := l.limit(); limit > 0 && l.open[ip] >= limit {
		return false
	}
	l.open[ip]++
	return true
}

func (l *callerListener) release(ip string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[ip]--
	if l.open[ip] == 0 {
		delete(l.open, ip)
	}
}

func ipOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}
