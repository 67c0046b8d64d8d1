package placement

import (
	"slices"
	"strings"

	"github.com/fireflygate/fireflygate/task"
)

// maxSizes bounds the sizes kept per kind of request; beyond it the oldest is
// dropped.
const maxSizes = 64

// requestKind holds the properties of requests that the filters depend on,
// other than the size.
type requestKind struct {
	qos           task.QoS
	zones         string
	headroomShare float64
}

// maxKinds bounds the kinds of requests in the cache.
const maxKinds = 256

// unfitCache holds sizes that fit on no host, until a host frees enough for
// them. Larger sizes don't fit either, so only minimal ones are kept.
type unfitCache struct {
	byKind map[requestKind][]request
}

func newUnfitCache() unfitCache {
	return unfitCache{byKind: map[requestKind][]request{}}
}

func (q *request) kind() requestKind {
	zones := ""
	if len(q.spec.Zones) > 0 {
		zones = strings.Join(q.spec.Zones, "\x00")
	}
	return requestKind{qos: q.spec.QoS, zones: zones, headroomShare: q.headroomShare}
}

// knownUnfit reports whether the request is known to fit on no host.
func (c *unfitCache) knownUnfit(q *request) bool {
	if q.nominated != nil {
		return false
	}
	return slices.ContainsFunc(c.byKind[q.kind()], func(o request) bool { return o.size.Fits(q.size) })
}

// add adds a request that fits on no host. Requests with avoided hosts are not
// cached, since the result doesn't apply to other jobs.
func (c *unfitCache) add(q *request) {
	if len(q.avoid) > 0 || q.nominated != nil {
		return
	}
	if len(c.byKind) >= maxKinds {
		clear(c.byKind)
	}
	sizes := slices.DeleteFunc(c.byKind[q.kind()], func(o request) bool { return q.size.Fits(o.size) })
	if len(sizes) >= maxSizes {
		sizes = slices.Delete(sizes, 0, 1)
	}
	c.byKind[q.kind()] = append(sizes, *q)
}

// freed drops the sizes that fit on a node that has freed resources.
func (c *unfitCache) freed(n *node) {
	for kind, sizes := range c.byKind {
		sizes = slices.DeleteFunc(sizes, func(q request) bool { return q.filter(n) == Feasible })
		if len(sizes) == 0 {
			delete(c.byKind, kind)
			continue
		}
		c.byKind[kind] = sizes
	}
}
