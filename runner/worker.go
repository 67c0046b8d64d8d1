package runner

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// Worker is one life of a worker process, as the membership list shows it.
type Worker struct {
	// ID names this life; a restarted worker has another.
	ID string `msgpack:"i"`
	// Address is IP:port for orders.
	Address string `msgpack:"a"`
	// Pool is the set of workers that it belongs to.
	Pool string `msgpack:"p,omitempty"`
	Zone string `msgpack:"z,omitempty"`
	// Labels hold its kind and its rack.
	Labels []string `msgpack:"l,omitempty"`
	// Capacity is what it holds in all.
	Capacity infra.Resources `msgpack:"c"`
	// Draining workers leave soon and get no new tasks.
	Draining bool `msgpack:"-"`
	// LeavesIn is the least time left to a draining worker.
	LeavesIn time.Duration `msgpack:"-"`
	// Malformed is set if the list holds an entry with this ID that names no
	// worker to use; nothing but the ID is known then.
	Malformed bool `msgpack:"-"`
}

// HasLabel reports whether the worker carries the label; every worker carries
// the empty one.
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}
