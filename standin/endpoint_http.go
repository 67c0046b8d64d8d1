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

// Handler serves the endpoint's requests on all paths except /standin/, which
// serves its faults, statistics and leaving flag.
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

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	in, err := readRequest(w, r)
	if err != nil {
		// An incomplete request isn't processed.
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.begin(in) {
		refuse(w)
		return
	}
	e.work(in.life, e.workTime(in))
	// The slot is released before the response is sent, so that the receiver of
	// the response can reuse it.
	e.end(in, r.Context().Err() != nil)
	e.reply(w, in)
}

// reply writes the response, truncated or aborted if the faults or the end of the life
// ask for it.
func (e *Endpoint) reply(w http.ResponseWriter, in *endpointRequest) {
	select {
	case <-in.life.closed:
		abortResponse()
	default:
	}
	body := in.reply()
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
	if e.truncateNext() {
		// Write errors mean that the caller has disconnected.
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		abortResponse()
	}
	_, _ = w.Write(body)
}
