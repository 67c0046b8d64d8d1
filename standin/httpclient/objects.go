package httpclient

import (
	"context"
	"net/http"
	"net/url"

	"github.com/fireflygate/fireflygate/infra"
)

// Objects is a client of the object store.
type Objects struct {
	client client
	base   string
}

var _ infra.Objects = (*Objects)(nil)

// NewObjects returns a client of the object store at baseURL.
func NewObjects(baseURL string, c *http.Client) *Objects {
	return &Objects{client: newClient(c), base: baseURL}
}

// Put stores data under key and replaces what was there.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	return o.client.do(ctx, http.MethodPut, o.url(key), data).err
}

// Get returns the object stored under key, or infra.ErrNotFound.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	a := o.client.do(ctx, http.MethodGet, o.url(key), nil)
	return a.body, a.err
}

func (o *Objects) url(key string) string {
	return o.base + "/objects/" + url.PathEscape(key)
}
