package standin

import (
	"net/http"
	"strconv"

	"github.com/fireflygate/fireflygate/check"
)

// EndpointControl is the body of POST /standin/leaving.
type EndpointControl struct {
	Leaving bool `json:"leaving"`
}

// Handler serves the endpoint: requests under every path but /standin/,
// where its faults, stats and leaving flag are.
func (e *Endpoint) Handler() http.Handler {
	control := http.NewServeMux()
	serveFaults(control, e.Set, e.Faults)
	serveChange(control, "POST /leaving", func(c EndpointControl) { e.SetLeaving(c.Leaving) })
	control.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, processed, e.Stats())
	})
	mux := http.NewServeMux()
	mux.Handle("/standin/", http.StripPrefix("/standin", control))
	mux.HandleFunc("/", e.serve)
	return mux
}

// serve works on one request.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	in, err := readRequest(w, r)
	if err != nil {
		// The request did not arrive whole, so it does not run.
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.begin(in) {
		refuse(w)
		return
	}
	e.work(e.workTime(in))
	// The slot is free before the answer leaves, so that whoever reads the
	// answer may use it.
	e.end(in, r.Context().Err() != nil)
	e.answer(w, in)
}

// answer sends the answer, or cuts it as the faults ask.
func (e *Endpoint) answer(w http.ResponseWriter, in *endpointRequest) {
	select {
	case <-e.closed:
		loseAnswer()
	default:
	}
	body := in.answer()
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(RequestIDHeader, in.request)
	h.Set(CallHeader, in.call)
	h.Set(EchoHeader, check.Digest(in.body))
	h.Set(AnswerDigestHeader, check.Digest(body))
	h.Set(EndpointHeader, e.config.Name)
	if e.Faults().FailAll {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if e.cuts() {
		// The caller may be gone; nothing is left to do then.
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		loseAnswer()
	}
	_, _ = w.Write(body)
}
