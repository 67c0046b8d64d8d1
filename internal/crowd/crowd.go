package crowd

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// reconnectDelay is the time between the end of a client's connection and its next one.
const reconnectDelay = 200 * time.Millisecond

// DialFunc connects a client to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dial connects by TCP.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Crowd is a set of clients, each of which repeats a script until Stop is called.
type Crowd struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
	passes  []atomic.Int64
	// opened counts the connections that were established.
	opened atomic.Int64
}

// Start starts count clients of the addresses, in turn. A client whose connection has
// ended connects again.
func Start(addresses []string, count int, dial DialFunc, s Script) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{cancel: cancel, passes: make([]atomic.Int64, count)}
	for i := range count {
		address := addresses[i%len(addresses)]
		c.running.Go(func() {
			for ctx.Err() == nil {
				c.connect(ctx, address, dial, s, &c.passes[i])
				select {
				case <-ctx.Done():
				case <-time.After(reconnectDelay):
				}
			}
		})
	}
	return c
}

// connect plays the script on one connection.
func (c *Crowd) connect(ctx context.Context, address string, dial DialFunc, s Script, passes *atomic.Int64) {
	conn, err := dial(ctx, address)
	if err != nil {
		passes.Add(1) // being refused is an outcome, too
		return
	}
	c.opened.Add(1)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the script
	defer stop()
	defer conn.Close()
	s(conn, func() { passes.Add(1) })
	passes.Add(1)
}

// Passes returns the smallest number of passes of a client. A pass ends when the client
// has sent all that its script sends, or its connection has ended.
func (c *Crowd) Passes() int {
	least := c.passes[0].Load()
	for i := range c.passes {
		least = min(least, c.passes[i].Load())
	}
	return int(least)
}

// Opened returns the number of connections that were established.
func (c *Crowd) Opened() int { return int(c.opened.Load()) }

// Stop closes all connections and waits for the clients.
func (c *Crowd) Stop() {
	c.cancel()
	c.running.Wait()
}
