package gateway

import (
	"context"
	"net/http"
	"time"
)

// Middleware wraps the generated handler of calls. It passes on the caller's
// method, headers and target and the endpoint's status and headers, which the
// API design doesn't model.
func Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := &httpCall{
			request: r,
			arrived: time.Now(),
		}
		ctx := context.WithValue(r.Context(), httpCallKey{}, call)
		next.ServeHTTP(&responseWriter{ResponseWriter: w, call: call}, r.WithContext(ctx))
	})
}

// responseWriter replaces the status and headers that the generated handler
// writes with those of the endpoint.
type responseWriter struct {
	http.ResponseWriter
	call    *httpCall
	written bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.written {
		return
	}
	w.written = true
	w.ResponseWriter.WriteHeader(w.call.writeHeaders(w.Header(), status))
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the server's writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
