package standin

import (
	"fmt"
	"net/http"

	"github.com/fireflygate/fireflygate/infra"
)

// StateChange is the body of POST /state, which sets the state of a member.
type StateChange struct {
	Name  string            `json:"name"`
	State infra.MemberState `json:"state"`
}

// Removal is the body of POST /remove.
type Removal struct {
	Name string `json:"name"`
}

// Handler serves the published list on /members, changes on /put, /state, /remove,
// /lag and /publish, and the faults on /faults.
func (m *Members) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, r *http.Request) {
		var list infra.MemberList
		d := m.run(r.Context(), func() { list = m.list() })
		etag := fmt.Sprintf("%q", fmt.Sprint(m.instanceID, "-", list.Revision))
		if d == processed && r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", etag)
		respond(w, d, &list)
	})
	serveChange(mux, "POST /put", m.Put)
	serveChange(mux, "POST /state", func(c StateChange) { m.SetState(c.Name, c.State) })
	serveChange(mux, "POST /remove", func(c Removal) { m.Remove(c.Name) })
	serveChange(mux, "POST /lag", m.SetLag)
	serveChange(mux, "POST /publish", func(struct{}) { m.Publish() })
	serveFaults(mux, m.Set, m.Faults)
	return mux
}

// serveChange registers a handler that decodes a change and applies it.
func serveChange[C any](mux *http.ServeMux, pattern string, apply func(C)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		var c C
		if readJSON(w, r, &c) {
			apply(c)
			respond(w, processed, struct{}{})
		}
	})
}
