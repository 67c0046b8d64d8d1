package placement

import (
	"slices"
	"strings"

	"github.com/fireflygate/fireflygate/task"
)

// maxFront bounds the smallest sizes kept for one kind of request; the oldest
// gives way.
const maxFront = 64

// requestKind is what requests share that the filters treat alike but for
// their size.
type requestKind struct {
	qos     task.QoS
	zones   string
	reserve float64
}

// maxKinds bounds the kinds of requests remembered.
const maxKinds = 256

// equivalence remembers sizes that fit on no host, until a host frees enough
// for them. What is no smaller than such a size does not fit either, so only
// the smallest are kept.
type equivalence struct {
	unfit map[requestKind][]request
}

func newEquivalence() equivalence {
	return equivalence{unfit: map[requestKind][]request{}}
}

func (q *request) kind() requestKind {
	zones := ""
	if len(q.spec.Zones) > 0 {
		zones = strings.Join(q.spec.Zones, "\x00")
	}
	return requestKind{qos: q.spec.QoS, zones: zones, reserve: q.reserve}
}

// knownUnfit reports whether the request is known to fit nowhere.
func (e *equivalence) knownUnfit(q *request) bool {
	if q.nominated != nil {
		return false
	}
	return slices.ContainsFunc(e.unfit[q.kind()], func(o request) bool { return o.size.Fits(q.size) })
}

// add remembers a request that fits nowhere. What a job avoids is its own, so
// such requests are not remembered.
func (e *equivalence) add(q *request) {
	if len(q.avoid) > 0 || q.nominated != nil {
		return
	}
	if len(e.unfit) >= maxKinds {
		clear(e.unfit)
	}
	front := slices.DeleteFunc(e.unfit[q.kind()], func(o request) bool { return q.size.Fits(o.size) })
	if len(front) >= maxFront {
		front = slices.Delete(front, 0, 1)
	}
	e.unfit[q.kind()] = append(front, *q)
}

// freed forgets what fits on a node that has more free than before.
func (e *equivalence) freed(n *node) {
	for kind, front := range e.unfit {
		front = slices.DeleteFunc(front, func(q request) bool { return q.filter(n) == Feasible })
		if len(front) == 0 {
			delete(e.unfit, kind)
			continue
		}
		e.unfit[kind] = front
	}
}
