package runner

import "time"

// Addressee tells for which life of a worker an order was made, and what its sender knew
// then. It isn't sent: a worker that has started again under its ID executes the order too.
type Addressee struct {
	// Life numbers the lives that the sender has known of its workers, 0 if it counts none.
	Life        uint64
	Incarnation Incarnation
	// Clock is the earliest time in milliseconds that the worker's clock could show, 0 if it
	// wasn't known.
	Clock int64
	// At is when the order was made.
	At time.Time
}
