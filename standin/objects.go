package standin

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/fireflygate/fireflygate/infra"
)

// Objects is a stand-in for the object store. It implements infra.Objects.
type Objects struct {
	*injector
	mu   sync.Mutex
	data map[string][]byte
}

var _ infra.Objects = (*Objects)(nil)

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{injector: newInjector(), data: map[string][]byte{}}
}

// Put stores data under key and replaces what was there.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	if o.run(ctx, func() { o.put(key, data) }) != processed {
		return infra.ErrUnavailable
	}
	return nil
}

// Get returns the object stored under key, or infra.ErrNotFound.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	var data []byte
	var found bool
	if o.run(ctx, func() { data, found = o.get(key) }) != processed {
		return nil, infra.ErrUnavailable
	}
	if !found {
		return nil, infra.ErrNotFound
	}
	return data, nil
}

func (o *Objects) put(key string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[key] = slices.Clone(data)
}

func (o *Objects) get(key string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, found := o.data[key]
	return slices.Clone(data), found
}

// Handler serves the store on /objects/ and the faults on /faults.
func (o *Objects) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /objects/{key...}", o.servePut)
	mux.HandleFunc("GET /objects/{key...}", o.serveGet)
	serveFaults(mux, o.Set, o.Faults)
	return mux
}

func (o *Objects) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	respond(w, o.run(r.Context(), func() { o.put(key, data) }), struct{}{})
}

func (o *Objects) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	var data []byte
	var found bool
	d := o.run(r.Context(), func() { data, found = o.get(key) })
	if d != processed {
		respond(w, d, nil)
		return
	}
	if !found {
		http.NotFound(w, r)
		return
	}
	// An error means that the client has disconnected.
	_, _ = w.Write(data)
}
