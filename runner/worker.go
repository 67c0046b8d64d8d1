package runner

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// Worker is a worker as the membership list describes it.
type Worker struct {
	// ID identifies the worker. One that starts again has a new ID or a new Incarnation.
	ID string `msgpack:"i"`
	// Incarnation is the life that the entry is of.
	Incarnation Incarnation `msgpack:"b,omitempty"`
	// Address is the IP:port that orders are sent to.
	Address string `msgpack:"a"`
	// Pool is the name of the worker's pool.
	Pool string `msgpack:"p,omitempty"`
	Zone string `msgpack:"z,omitempty"`
	// Labels include the worker's hardware kind and its rack.
	Labels []string `msgpack:"l,omitempty"`
	// Capacity is the worker's total capacity.
	Capacity infra.Resources `msgpack:"c"`
	// Draining workers leave soon and get no new tasks.
	Draining bool `msgpack:"-"`
	// LeavesIn is the minimum time until a draining worker leaves.
	LeavesIn time.Duration `msgpack:"-"`
	// Malformed is set if the list's entry for this ID can't be used; only the
	// ID is valid then.
	Malformed bool `msgpack:"-"`
}

// HasLabel reports whether the worker has the label. Every worker has the
// empty label.
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
