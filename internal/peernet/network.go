// Package peernet joins entry hosts within one process, through msgpack as
// over TCP, for tests and benchmarks.
package peernet

import (
	"context"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// Network carries requests between hosts by name. It is safe for concurrent
// use.
type Network struct {
	mu       sync.Mutex
	handlers map[string]map[peer.Method]peer.Handler
	fate     func(from, to string, m peer.Method) Fault
}

// New returns a network on which everything arrives.
func New() *Network {
	return &Network{
		handlers: map[string]map[peer.Method]peer.Handler{},
		fate:     func(string, string, peer.Method) Fault { return NoFault },
	}
}

// SetFault has f decide what becomes of each request from now on.
func (n *Network) SetFault(f func(from, to string, m peer.Method) Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fate = f
}

// Remove forgets a method of a host, as a host of an older version has it.
func (n *Network) RemoveMethod(host string, m peer.Method) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers[host], m)
}

// Port returns a host's end of the network.
func (n *Network) Port(host string) Port { return Port{net: n, host: host} }

func (n *Network) handle(host string, m peer.Method, h peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers[host] == nil {
		n.handlers[host] = map[peer.Method]peer.Handler{}
	}
	n.handlers[host][m] = h
}

// route returns the handler of a request and its fate.
func (n *Network) route(from, to string, m peer.Method) (peer.Handler, Fault) {
	n.mu.Lock()
	h, fate := n.handlers[to][m], n.fate
	n.mu.Unlock()
	if h == nil {
		return nil, Unreachable
	}
	return h, fate(from, to, m)
}

// call carries one request.
func (n *Network) call(ctx context.Context, from, to string, m peer.Method, request, reply any) peer.Result {
	h, fate := n.route(from, to, m)
	if fate == Unreachable {
		return peer.Result{Kind: outcome.NotRun, Err: peer.ErrUnreachable}
	}
	in, err := msgpack.Marshal(request)
	if err != nil {
		panic("peernet: a request can't be encoded: " + err.Error())
	}
	answer, err := h(ctx, from, func(v any) error { return msgpack.Unmarshal(in, v) })
	if err != nil || fate == ReplyLost || ctx.Err() != nil {
		return peer.Result{Kind: outcome.Unknown, Err: err}
	}
	out, err := msgpack.Marshal(answer)
	if err != nil {
		panic("peernet: an answer can't be encoded: " + err.Error())
	}
	return peer.Result{Kind: outcome.Answered, Err: msgpack.Unmarshal(out, reply)}
}
