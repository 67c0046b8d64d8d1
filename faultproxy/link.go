package faultproxy

import (
	"net"
	"sync"
	"time"
)

const bufferSize = 32 << 10

// link is one proxied connection.
type link struct {
	proxy          *Proxy
	client, target net.Conn
	ended          chan struct{}
	once           sync.Once
}

func newLink(p *Proxy, client, target net.Conn) *link {
	return &link{proxy: p, client: client, target: target, ended: make(chan struct{})}
}

// reset closes both sides with a TCP reset.
func (l *link) reset() {
	l.once.Do(func() {
		close(l.ended)
		abort(l.client)
		abort(l.target)
	})
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// An error means that the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// run copies in both directions and returns when both have ended.
func (l *link) run() {
	var copying sync.WaitGroup
	copying.Go(func() { l.copy(l.target, l.client, true) })
	copying.Go(func() { l.copy(l.client, l.target, false) })
	copying.Wait()
}

// copy forwards bytes in one direction, subject to the proxy's faults, and closes
// the sending side of to at the end of the stream. It resets the link at
// ResetAfter and if a write fails.
func (l *link) copy(to, from net.Conn, toTarget bool) {
	buffer := make([]byte, bufferSize)
	var forwarded int64
	for {
		n, err := from.Read(buffer)
		f, ok := l.waitWhileHeld()
		if !ok {
			return
		}
		drop := (toTarget && f.DropToTarget) || (!toTarget && f.DropToClient)
		chunk := buffer[:n]
		limitReached := toTarget && f.ResetAfter > 0 && forwarded+int64(n) >= f.ResetAfter
		if limitReached {
			chunk = chunk[:max(0, min(int64(n), f.ResetAfter-forwarded))]
		}
		if !drop {
			if _, writeErr := to.Write(chunk); writeErr != nil {
				l.reset()
				return
			}
		}
		forwarded += int64(len(chunk))
		if limitReached {
			l.reset()
			return
		}
		if err != nil {
			halfClose(to)
			return
		}
	}
}

// waitWhileHeld waits until Freeze is cleared, then for Delay, and returns the
// faults that apply. It returns false if the link ends first.
func (l *link) waitWhileHeld() (Faults, bool) {
	for {
		f, changed := l.proxy.currentFaults()
		if !f.Freeze {
			return f, l.wait(f.Delay)
		}
		if !l.waitForChange(changed) {
			return f, false
		}
	}
}

// waitForChange waits until the faults change. It returns false if the link ends
// first.
func (l *link) waitForChange(changed <-chan struct{}) bool {
	l.proxy.addHeldChunks(1)
	defer l.proxy.addHeldChunks(-1)
	select {
	case <-changed:
		return true
	case <-l.ended:
		return false
	}
}

func (l *link) wait(d time.Duration) bool {
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

// halfClose closes the sending side of a connection.
func halfClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// An error means that the connection is already closed.
		_ = tcp.CloseWrite()
	}
}
