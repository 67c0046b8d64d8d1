package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

const (
	unprocessedHeader = "Fireflygate-Unprocessed"
	unprocessedValue  = "1"
	// maxRequest bounds the body of a request to a stand-in, in bytes.
	maxRequest = 32 << 20
)

// refuse responds that the request had no effect.
func refuse(w http.ResponseWriter) {
	w.Header().Set(unprocessedHeader, unprocessedValue)
	http.Error(w, "refused unprocessed", http.StatusServiceUnavailable)
}

// abortResponse aborts the connection without completing the response.
func abortResponse() {
	panic(http.ErrAbortHandler)
}

// respond responds with v as JSON, or refuses or drops the reply as d says.
func respond(w http.ResponseWriter, d outcome, v any) {
	switch d {
	case refused:
		refuse(w)
	case lost:
		abortResponse()
	default:
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(v)
	}
}

// readJSON decodes a body of at most maxRequest bytes into v. On failure it responds
// with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// serveFaults registers POST /faults, which replaces the faults, and GET /faults,
// which returns them.
func serveFaults[F any](mux *http.ServeMux, set func(F), get func() F) {
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f F
		if readJSON(w, r, &f) {
			set(f)
			respond(w, processed, get())
		}
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, processed, get())
	})
}
