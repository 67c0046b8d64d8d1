package task

import "github.com/fireflygate/fireflygate/infra"

// QoS is a quality-of-service class.
type QoS string

// The classes.
const (
	Batch           QoS = "batch"
	LatencyCritical QoS = "latency_critical"
)

// Spec is what a team asks to be run.
type Spec struct {
	// ID identifies the job; it is given at submission.
	ID string `msgpack:"id"`
	// Key is the team's idempotency key.
	Key string `msgpack:"k"`
	// Team pays with its quota.
	Team string `msgpack:"t"`
	// Class is what sizes, run times and interference are learned by.
	Class string `msgpack:"c"`
	QoS   QoS    `msgpack:"q"`
	// Urgent work starts at once and may preempt.
	Urgent bool `msgpack:"u,omitempty"`
	// Resources is the declared size, often far off.
	Resources infra.Resources `msgpack:"r"`
	// Floor is what is reserved at the least, once a run was killed for using
	// more than was reserved. It is not submitted; see Record.Sized.
	Floor infra.Resources `msgpack:"fl,omitempty"`
	// RunMS is the declared run time in milliseconds; 0 for a standing job.
	RunMS int64 `msgpack:"d,omitempty"`
	// DueUnixMS is when it must be done, in Unix milliseconds; 0 for never.
	DueUnixMS int64 `msgpack:"due,omitempty"`
	// Event is the named start that it is due by, if any.
	Event string `msgpack:"ev,omitempty"`
	// Zones restricts where it may run; empty for anywhere.
	Zones []string `msgpack:"z,omitempty"`
	// SubmittedUnixMS is when it was submitted, in Unix milliseconds.
	SubmittedUnixMS int64 `msgpack:"at"`
}
