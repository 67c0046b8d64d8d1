package task

import "github.com/fireflygate/fireflygate/infra"

// QoS is a quality-of-service class.
type QoS string

// Quality-of-service classes.
const (
	Batch           QoS = "batch"
	LatencyCritical QoS = "latency_critical"
)

// Spec is the description of a job as submitted by a team.
type Spec struct {
	// ID identifies the job; it is assigned at submission.
	ID string `msgpack:"id"`
	// Key is the team's idempotency key.
	Key string `msgpack:"k"`
	// Team is the team whose quota the job counts against.
	Team string `msgpack:"t"`
	// Class groups jobs for the estimates of size, run time and interference.
	Class string `msgpack:"c"`
	QoS   QoS    `msgpack:"q"`
	// Urgent jobs start at once and may preempt others.
	Urgent bool `msgpack:"u,omitempty"`
	// Resources is the declared size; actual usage may differ widely.
	Resources infra.Resources `msgpack:"r"`
	// Floor is the minimum reservation after a run was killed for exceeding
	// its reservation. It is not submitted; see Record.SpecWithFloor.
	Floor infra.Resources `msgpack:"fl,omitempty"`
	// RunMS is the declared run time in milliseconds; 0 if the job runs until
	// it is cancelled.
	RunMS int64 `msgpack:"d,omitempty"`
	// DueUnixMS is the deadline in Unix milliseconds; 0 for none.
	DueUnixMS int64 `msgpack:"due,omitempty"`
	// Event is the event by whose start the job is due; empty for none.
	Event string `msgpack:"ev,omitempty"`
	// Zones are the availability zones that the job may run in; empty for any.
	Zones []string `msgpack:"z,omitempty"`
	// SubmittedUnixMS is when the job was submitted, in Unix milliseconds.
	SubmittedUnixMS int64 `msgpack:"at"`
}
