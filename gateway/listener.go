package gateway

import (
	"net"
	"sync"
)

// callerListener limits the open connections of one caller's address.
type callerListener struct {
	net.Listener
	limit func() int

	mu   sync.Mutex
	open map[string]int
}

// LimitConnections returns a listener that closes at once what exceeds limit
// connections from one IP address. Zero is no limit. The limit is asked at
// each new connection.
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
		if l.take(ip) {
			return &callerConn{Conn: c, closed: func() { l.give(ip) }}, nil
		}
		c.Close()
	}
}

func (l *callerListener) take(ip string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit := l.limit(); limit > 0 && l.open[ip] >= limit {
		return false
	}
	l.open[ip]++
	return true
}

func (l *callerListener) give(ip string) {
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
