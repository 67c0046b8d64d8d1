package ingress

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Status returns the HTTP status of a refusal.
func (c Cause) Status() int {
	switch c {
	case CauseHeaderSize:
		return http.StatusRequestHeaderFieldsTooLarge
	case CauseBodySize:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

// Refusal returns the response, as text, to a request whose header wasn't read whole. It
// closes the connection. extra holds further header lines, each with its line end.
func Refusal(c Cause, extra string) []byte {
	status := c.Status()
	if status == http.StatusServiceUnavailable {
		extra += "Retry-After: " + retryAfterSeconds + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), extra)
}

var retryAfterSeconds = strconv.Itoa(int(RetryAfter / time.Second))
