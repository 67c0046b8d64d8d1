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

// refuse answers that nothing was done.
func refuse(w http.ResponseWriter) {
	w.Header().Set(unprocessedHeader, unprocessedValue)
	http.Error(w, "refused unprocessed", http.StatusServiceUnavailable)
}

// loseAnswer cuts the connection without an answer.
func loseAnswer() {
	panic(http.ErrAbortHandler)
}

// respond writes v as the answer to a request that had verdict d.
func respond(w http.ResponseWriter, d verdict, v any) {
	switch d {
	case refused:
		refuse(w)
	case lost:
		loseAnswer()
	default:
		w.Header().Set("Content-Type", "application/json")
		// The sender may be gone; nothing is left to do then.
		_ = json.NewEncoder(w).Encode(v)
	}
}

// readJSON decodes a bounded body into v; it answers 400 itself if it can't.
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

// serveFaults handles POST /faults, which replaces all faults, and GET
// /faults, which shows them.
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
