package standin

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
)

// Target is the body of a control request and names the stand-in to act on.
type Target struct {
	Name string `json:"name"`
	// Down selects whether /unreachable closes or reopens the listener.
	Down bool `json:"down,omitempty"`
}

// SetLeaving marks an endpoint as leaving, or as live again, both in the membership
// list and in the endpoint.
func (p *Platform) SetLeaving(name string, leaving bool) error {
	for _, e := range p.Endpoints {
		if e.config.Name != name {
			continue
		}
		e.SetLeaving(leaving)
		state := infra.Live
		if leaving {
			state = infra.Leaving
		}
		p.Members.SetState(name, state)
		return nil
	}
	return errors.Newf("no endpoint is named %q", name)
}

// controlHandler serves /unreachable, /kill, /revive, /restart, /leave, /return
// and /entry-host.
func (p *Platform) controlHandler() http.Handler {
	mux := http.NewServeMux()
	serveControl(mux, "POST /unreachable", func(t Target) error { return p.SetUnreachable(t.Name, t.Down) })
	serveControl(mux, "POST /kill", func(t Target) error { return p.KillWorker(t.Name) })
	serveControl(mux, "POST /revive", func(t Target) error { return p.ReviveWorker(t.Name) })
	serveControl(mux, "POST /restart", func(t Target) error { return p.Restart(t.Name) })
	serveControl(mux, "POST /leave", func(t Target) error { return p.SetLeaving(t.Name, true) })
	serveControl(mux, "POST /return", func(t Target) error { return p.SetLeaving(t.Name, false) })
	serveChange(mux, "POST /entry-host", p.PutEntryHost)
	return mux
}

// serveControl registers a handler that applies a control request; an error of apply
// is returned with status 404.
func serveControl(mux *http.ServeMux, pattern string, apply func(Target) error) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		var t Target
		if !readJSON(w, r, &t) {
			return
		}
		if err := apply(t); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		respond(w, processed, struct{}{})
	})
}
