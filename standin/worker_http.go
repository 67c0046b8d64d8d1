package standin

import (
	"net/http"

	"github.com/fireflygate/fireflygate/infra"
)

// Handler serves exchanges on /exchange, the runs on /runs and the faults on
// /faults.
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
		abortResponse()
	}
	respond(rw, processed, &reply)
}
