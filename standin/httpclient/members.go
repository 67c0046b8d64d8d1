package httpclient

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
)

// Members is a client of the membership service. If the service sends entity tags,
// an unchanged list isn't transferred again.
type Members struct {
	client client
	base   string

	mu   sync.Mutex // guards the fields below
	etag string
	last infra.MemberList
}

var _ infra.Members = (*Members)(nil)

// NewMembers returns a client of the membership service at baseURL.
func NewMembers(baseURL string, c *http.Client) *Members {
	return &Members{client: newClient(c), base: baseURL}
}

// List returns the current list. Calls may return the same slice of members, which
// callers must not modify.
func (m *Members) List(ctx context.Context) (infra.MemberList, error) {
	m.mu.Lock()
	etag, last := m.etag, m.last
	m.mu.Unlock()
	a := m.client.doConditional(ctx, http.MethodGet, m.base+"/members", etag, nil)
	switch {
	case a.err != nil:
		return infra.MemberList{}, a.err
	case a.unmodified && etag == "":
		return infra.MemberList{}, unavailable(errors.New("membership service answered 304 to an unconditional request"))
	case a.unmodified:
		return last, nil
	}
	var list infra.MemberList
	if err := json.Unmarshal(a.body, &list); err != nil {
		return infra.MemberList{}, unavailable(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.etag, m.last = a.etag, list
	return list, nil
}
