package peernet

import (
	"context"

	"github.com/fireflygate/fireflygate/peer"
)

// Port is one host's access to a network. It implements peer.Transport and
// peer.Mux.
type Port struct {
	net  *Network
	host string
}

// Handle implements peer.Mux.
func (p Port) Handle(m peer.Method, h peer.Handler) { p.net.handle(p.host, m, h) }

// Call implements peer.Transport.
func (p Port) Call(ctx context.Context, host string, m peer.Method, request, reply any) peer.Result {
	return p.net.call(ctx, p.host, host, m, request, reply)
}
