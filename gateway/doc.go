// Package gateway is the path of interactive requests: it admits them, sends
// them to an endpoint that this host owns or forwards them to a peer that has
// a free slot, and passes the whole answer back.
package gateway
