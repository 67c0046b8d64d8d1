package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists headers that apply to one connection only, and headers that
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

// internalHeaderPrefix is the prefix of headers that only entry hosts and
// endpoints may set.
const internalHeaderPrefix = "Fireflygate-"

// EndToEndHeaders returns a copy of the headers to pass on. It omits
// hop-by-hop headers, proxy headers about the origin and headers with the
// prefix "Fireflygate-".
func EndToEndHeaders(h http.Header) http.Header {
	named := connectionNames(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		switch {
		case hopByHop[name], named[name]:
		case strings.HasPrefix(name, "X-Forwarded-"), strings.HasPrefix(name, internalHeaderPrefix):
		default:
			out[name] = values
		}
	}
	return out
}

// connectionNames returns the headers that the Connection header lists.
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
