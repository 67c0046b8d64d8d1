package faultproxy

import (
	"net"
	"sync"
	"time"
)

const bufferSize = 32 << 10

// link is one connection through the proxy.
type link struct {
	proxy          *Proxy
	client, target net.Conn
	ended          chan struct{}
	once           sync.Once
}

func newLink(p *Proxy, client, target net.Conn) *link {
	return &link{proxy: p, client: client, target: target, ended: make(chan struct{})}
}

// reset ends both sides with a TCP reset.
func (l *link) reset() {
	l.once.Do(func() {
		close(l.ended)
		abort(l.client)
		abort(l.target)
	})
}

// abort closes a connection without the usual handshake.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without effect on a connection that has gone; it is closed anyway.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// run copies both ways until both ended.
func (l *link) run() {
	var copying sync.WaitGroup
	copying.Go(func() { l.copy(l.target, l.client, true) })
	copying.Go(func() { l.copy(l.client, l.target, false) })
	copying.Wait()
}

// copy passes bytes on in one direction. The end of one side is passed on as
// a half close.
func (l *link) copy(to, from net.Conn, toTarget bool) {
	buffer := make([]byte, bufferSize)
	var passed int64
	for {
		n, err := from.Read(buffer)
		f, ok := l.hold()
		if !ok {
			return
		}
		drop := (toTarget && f.DropToTarget) || (!toTarget && f.DropToClient)
		piece := buffer[:n]
		over := toTarget && f.ResetAfter > 0 && passed+int64(n) >= f.ResetAfter
		if over {
			piece = piece[:max(0, min(int64(n), f.ResetAfter-passed))]
		}
		if !drop {
			if _, writeErr := to.Write(piece); writeErr != nil {
				l.reset()
				return
			}
		}
		passed += int64(len(piece))
		if over {
			l.reset()
			return
		}
		if err != nil {
			halfClose(to)
			return
		}
	}
}

// hold waits as long as Freeze, then Delay; false if the link ended.
func (l *link) hold() (Faults, bool) {
	for {
		f, changed := l.proxy.get()
		if !f.Freeze {
			return f, l.delay(f.Delay)
		}
		if !l.frozen(changed) {
			return f, false
		}
	}
}

// frozen waits for a change of faults; false if the link ended.
func (l *link) frozen(changed <-chan struct{}) bool {
	l.proxy.addHeld(1)
	defer l.proxy.addHeld(-1)
	select {
	case <-changed:
		return true
	case <-l.ended:
		return false
	}
}

func (l *link) delay(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.ended:
		return false
	}
}

// halfClose ends the sending direction of a connection.
func halfClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without effect on a connection that has gone.
		_ = tcp.CloseWrite()
	}
}
