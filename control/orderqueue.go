package control

import (
	"context"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// orderQueue holds the orders that wait to be sent to one worker. Stops go first, then the
// others in the order in which they were queued. Stops and starts aren't bounded by number: the
// stops are of runs on the worker, and each start has room reserved there.
type orderQueue struct {
	mu     sync.Mutex
	stops  []queuedOrder
	starts []queuedOrder
	others []queuedOrder
	// queuedStops holds the runs of stops.
	queuedStops map[runKey]bool
	// next numbers the orders.
	next uint64
	// lanes is the number of goroutines that send stops and starts besides the session's own
	// one, allowed bounds it: it doubles with each answer and drops to none without one, so that
	// few connections wait for a worker that doesn't answer.
	lanes, allowed int
	// roundTrip is the smoothed time to an answer.
	roundTrip time.Duration
}

// queuedOrder is an order that waits. send sends it and reports whether it was answered; with an
// ended context it only reports to the loop that the order wasn't sent.
type queuedOrder struct {
	number uint64
	stops  runKey
	send   func(context.Context) answered
}

// answered tells how the sending of an order ended.
type answered struct {
	// sent is set if the order was sent, ok if the worker answered it.
	sent, ok bool
}

// runKey identifies a run of a task.
type runKey struct {
	task workload.TaskID
	run  uint64
}

const (
	// maxLanes bounds the extra lanes of one worker, maxExtraLanes those of all: each needs a
	// connection, and so memory and a descriptor.
	maxLanes      = 31
	maxExtraLanes = 256
	// drainTime is the time within which the stops and starts that wait for a worker are to be
	// sent. It is short beside maxStartDelay, after which a start isn't sent any more, and beside
	// the time within which the tasks of a cancelled job have to end.
	drainTime = 100 * time.Millisecond
	// roundTripWeight is the weight of earlier round trips in the smoothed one, as a multiple of
	// that of the last.
	roundTripWeight = 7
	// maxQueuedOrders bounds the orders other than stops and starts that wait for one worker.
	maxQueuedOrders = 256
)

func newOrderQueue() *orderQueue { return &orderQueue{queuedStops: map[runKey]bool{}} }

// pushStop queues the stop of a run. It returns false if one waits already.
func (q *orderQueue) pushStop(run runKey, send func(context.Context) answered) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queuedStops[run] {
		return false
	}
	q.queuedStops[run] = true
	q.stops = append(q.stops, q.number(send))
	q.stops[len(q.stops)-1].stops = run
	return true
}

// pushStart queues a start.
func (q *orderQueue) pushStart(send func(context.Context) answered) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.starts = append(q.starts, q.number(send))
}

// push queues another order. It returns false if too many wait.
func (q *orderQueue) push(send func(context.Context) answered) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.others) >= maxQueuedOrders {
		return false
	}
	q.others = append(q.others, q.number(send))
	return true
}

// number returns a numbered order; q.mu must be held.
func (q *orderQueue) number(send func(context.Context) answered) queuedOrder {
	q.next++
	return queuedOrder{number: q.next, send: send}
}

// take removes the next order. An extra lane takes stops and starts only: others may depend on
// their order.
func (q *orderQueue) take(extra bool) (o queuedOrder, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := &q.others
	switch {
	case len(q.stops) > 0:
		list = &q.stops
	case len(q.starts) > 0 && (extra || len(q.others) == 0 || q.starts[0].number < q.others[0].number):
		list = &q.starts
	case extra || len(q.others) == 0:
		return queuedOrder{}, false
	}
	o = (*list)[0]
	(*list)[0] = queuedOrder{}
	if *list = (*list)[1:]; len(*list) == 0 {
		*list = nil
	}
	delete(q.queuedStops, o.stops)
	return o, true
}

// waiting returns the number of orders that wait.
func (q *orderQueue) waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.stops) + len(q.starts) + len(q.others)
}

// observe records how the sending of an order ended, and how long it took.
func (q *orderQueue) observe(a answered, took time.Duration) {
	if !a.sent {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !a.ok {
		q.allowed = 0
		return
	}
	q.allowed = min(max(2*q.allowed, 1), maxLanes)
	if q.roundTrip == 0 {
		q.roundTrip = took
	}
	q.roundTrip = (roundTripWeight*q.roundTrip + took) / (roundTripWeight + 1)
}

// addLanes returns how many extra lanes to start, and counts them, so that the stops and starts
// that wait are sent within drainTime.
func (q *orderQueue) addLanes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := len(q.stops) + len(q.starts)
	wanted := min(int(time.Duration(waiting)*q.roundTrip/drainTime), q.allowed)
	added := max(wanted-q.lanes, 0)
	q.lanes += added
	return added
}

// removeLane counts an extra lane as ended.
func (q *orderQueue) removeLane() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lanes--
}

// surplus reports whether there are more extra lanes than the worker's answers allow.
func (q *orderQueue) surplus() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lanes > q.allowed
}
