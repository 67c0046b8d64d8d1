package standin

import (
	"net/http"

	"github.com/fireflygate/fireflygate/infra"
)

// Handler serves the worker over HTTP, with its faults under /faults and its
// runs under /runs.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /exchange", w.serveExchange)
	mux.HandleFunc("GET /runs", func(rw http.ResponseWriter, _ *http.Request) {
		respond(rw, processed, w.Runs())
	})
	serveFaults(mux, w.Set, w.Faults)
	return mux
}

func (w *Worker) serveExchange(rw http.ResponseWriter, r *http.Request) {
	var x infra.Exchange
	if !readJSON(rw, r, &x) {
		return
	}
	reply, err := w.Exchange(r.Context(), x)
	if err != nil {
		loseAnswer()
	}
	respond(rw, processed, &reply)
}
