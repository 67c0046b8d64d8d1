package placement

import (
	"strings"

	"github.com/fireflygate/fireflygate/platform"
	"github.com/fireflygate/fireflygate/task"
)

// maxUnfit bounds the cache of sizes that fit nowhere.
const maxUnfit = 1024

// unfitKey is what two requests share that fit on the same hosts.
type unfitKey struct {
	size    platform.Resources
	qos     task.QoS
	zones   string
	reserve float64
}

// equivalence remembers sizes that fit on no host, until a host frees enough
// for them.
type equivalence struct {
	unfit map[unfitKey]request
}

func newEquivalence() equivalence {
	return equivalence{unfit: map[unfitKey]request{}}
}

func (q *request) unfitKey() unfitKey {
	return unfitKey{
		size:    q.size,
		qos:     q.spec.QoS,
		zones:   strings.Join(q.spec.Zones, "\x00"),
		reserve: q.reserve,
	}
}

// knownUnfit reports whether the request is known to fit nowhere.
func (e *equivalence) knownUnfit(q *request) bool {
	if q.nominated != nil {
		return false
	}
	_, known := e.unfit[q.unfitKey()]
	return known
}

// add remembers a request that fits nowhere. What a job avoids is its own, so
// such requests are not remembered.
func (e *equivalence) add(q *request) {
	if len(q.avoid) > 0 || q.nominated != nil {
		return
	}
	if len(e.unfit) >= maxUnfit {
		clear(e.unfit)
	}
	e.unfit[q.unfitKey()] = *q
}

// freed forgets what fits on a node that has more free than before.
func (e *equivalence) freed(n *node) {
	for key, q := range e.unfit {
		if q.filter(n) == Feasible {
			delete(e.unfit, key)
		}
	}
}
