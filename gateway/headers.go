package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop is the headers that concern one connection only, and those that
// net/http writes itself.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Forwarded":           true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// ownPrefix begins the headers that only entry hosts and endpoints may set
// for each other.
const ownPrefix = "Fireflygate-"

// EndToEndHeaders returns a copy of the headers that are passed on: neither those of
// one connection, nor what proxies say of the origin, nor fireflygate's own.
func EndToEndHeaders(h http.Header) http.Header {
	named := connectionNames(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		switch {
		case hopByHop[name], named[name]:
		case strings.HasPrefix(name, "X-Forwarded-"), strings.HasPrefix(name, ownPrefix):
		default:
			out[name] = values
		}
	}
	return out
}

// connectionNames returns the headers that the Connection header names.
func connectionNames(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
