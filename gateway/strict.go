package gateway

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/fireflygate/fireflygate/outcome"
)

// RejectAmbiguous refuses requests that other HTTP implementations may parse
// differently: requests with both Content-Length and Transfer-Encoding,
// targets that are not a path, and the methods CONNECT and TRACE.
func RejectAmbiguous(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.TransferEncoding) > 0 {
			// net/http silently drops a Content-Length that comes with a
			// Transfer-Encoding. Closing the connection ensures that bytes
			// that follow are not parsed as a request.
			w.Header().Set("Connection", "close")
		}
		if title := requestProblem(r); title != "" {
			writeMalformed(w, title)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// requestProblem returns why the request is malformed or ambiguous, or "".
func requestProblem(r *http.Request) string {
	caller, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	switch {
	case r.Method == http.MethodConnect, r.Method == http.MethodTrace:
		return "the method is not served"
	case !strings.HasPrefix(r.RequestURI, "/"):
		return "the request target must be a path"
	case caller != nil && caller.hasBothLengths():
		return "the request has both Content-Length and Transfer-Encoding"
	default:
		return ""
	}
}

// writeMalformed responds with a problem body and closes the connection.
func writeMalformed(w http.ResponseWriter, title string) {
	p := badRequest(title)
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "application/json")
	h.Set(outcome.Header, p.Outcome)
	w.WriteHeader(http.StatusBadRequest)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(malformedBody{p.Name, p.Title, p.Outcome})
}

// malformedBody has the fields of Problem in the API design.
type malformedBody struct {
	Name    string `json:"name"`
	Title   string `json:"title"`
	Outcome string `json:"outcome"`
}
