package gateway

import (
	"fmt"
	"testing"
)

// TestRequestEnd checks that the end of a request is found wherever its bytes are
// split.
func TestRequestEnd(t *testing.T) {
	for _, body := range []string{"", "x", "\r\n\r\nbody"} {
		request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		for i := range len(request) {
			for j := i; j < len(request); j++ {
				e := requestEnd{bodyLeft: len(body)}
				if e.add([]byte(request[:i])) || e.add([]byte(request[i:j])) {
					t.Fatalf("body %q: complete after %d and %d of %d bytes", body, i, j, len(request))
				}
				if !e.add([]byte(request[j:])) {
					t.Fatalf("body %q: not complete after all bytes, split at %d and %d", body, i, j)
				}
			}
		}
	}
}
