// Package gateway serves interactive requests. It admits them, sends them to
// an endpoint that this host owns or forwards them to a peer with a free slot,
// and returns the complete answer.
package gateway
