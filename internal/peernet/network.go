// Package peernet connects entry hosts within one process for tests and
// benchmarks. It encodes messages with msgpack as the TCP transport does.
package peernet

import (
	"context"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// Network delivers requests between hosts by name. It is safe for concurrent
// use.
type Network struct {
	mu       sync.Mutex
	handlers map[string]map[peer.Method]peer.Handler
	fault    func(from, to string, m peer.Method) Fault
}

// New returns a network without faults.
func New() *Network {
	return &Network{
		handlers: map[string]map[peer.Method]peer.Handler{},
		fault:    func(string, string, peer.Method) Fault { return NoFault },
	}
}

// SetFault sets the function that determines the fault of each later request.
func (n *Network) SetFault(f func(from, to string, m peer.Method) Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

// RemoveMethod unregisters a method of a host, which simulates a host of an
// older version.
func (n *Network) RemoveMethod(host string, m peer.Method) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers[host], m)
}

// Port returns the transport and mux of a host.
func (n *Network) Port(host string) Port { return Port{net: n, host: host} }

func (n *Network) handle(host string, m peer.Method, h peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers[host] == nil {
		n.handlers[host] = map[peer.Method]peer.Handler{}
	}
	n.handlers[host][m] = h
}

// route returns the handler of a request and its fault.
func (n *Network) route(from, to string, m peer.Method) (peer.Handler, Fault) {
	n.mu.Lock()
	h, fault := n.handlers[to][m], n.fault
	n.mu.Unlock()
	if h == nil {
		return nil, Unreachable
	}
	return h, fault(from, to, m)
}

func (n *Network) call(ctx context.Context, from, to string, m peer.Method, request, reply any) peer.Result {
	h, fault := n.route(from, to, m)
	if fault == Unreachable {
		return peer.Result{Kind: outcome.NotRun, Err: peer.ErrUnreachable}
	}
	in, err := msgpack.Marshal(request)
	if err != nil {
		panic("peernet: encode request: " + err.Error())
	}
	answer, err := h(ctx, from, func(v any) error { return msgpack.Unmarshal(in, v) })
	if err != nil || fault == ReplyLost || ctx.Err() != nil {
		return peer.Result{Kind: outcome.Unknown, Err: err}
	}
	out, err := msgpack.Marshal(answer)
	if err != nil {
		panic("peernet: encode reply: " + err.Error())
	}
	return peer.Result{Kind: outcome.Answered, Err: msgpack.Unmarshal(out, reply)}
}
