package gateway

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/fireflygate/fireflygate/outcome"
)

// Strict refuses requests that another HTTP implementation might read
// otherwise: both Content-Length and Transfer-Encoding, targets that are not a
// path, and the methods CONNECT and TRACE.
func RejectAmbiguous(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.TransferEncoding) > 0 {
			// net/http drops a Content-Length beside it unseen. With the
			// connection closed, bytes that follow are never a request.
			w.Header().Set("Connection", "close")
		}
		if title := ambiguous(r); title != "" {
			refuseMalformed(w, title)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ambiguous returns what is wrong with the request's form, if anything is.
func ambiguous(r *http.Request) string {
	caller, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	switch {
	case r.Method == http.MethodConnect, r.Method == http.MethodTrace:
		return "the method is not served"
	case !strings.HasPrefix(r.RequestURI, "/"):
		return "the request target must be a path"
	case caller != nil && caller.twoLengths():
		return "the request has both Content-Length and Transfer-Encoding"
	default:
		return ""
	}
}

// refuseMalformed answers with a problem body and closes the connection.
func refuseMalformed(w http.ResponseWriter, title string) {
	p := badRequest(title)
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "application/json")
	h.Set(outcome.Header, p.Outcome)
	w.WriteHeader(http.StatusBadRequest)
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(malformedBody{p.Name, p.Title, p.Outcome})
}

// malformedBody has the fields of the design's Problem.
type malformedBody struct {
	Name    string `json:"name"`
	Title   string `json:"title"`
	Outcome string `json:"outcome"`
}
