package infra

import (
	"context"
	"slices"
)

// RunID identifies one run of a task. A higher epoch of the same job supersedes
// all lower ones.
type RunID struct {
	Job   string `json:"job" msgpack:"j"`
	Epoch uint64 `json:"epoch" msgpack:"e"`
}

// OrderKind is the kind of an Order.
type OrderKind string

// The orders. Each is idempotent for its run.
const (
	// OrderStart starts a run, from a checkpoint if one is named. A worker
	// refuses it if it has received a stop of the same run or any order for a
	// higher epoch of the job.
	OrderStart OrderKind = "start"
	// OrderThrottle limits a run to a percentage of its processors.
	OrderThrottle OrderKind = "throttle"
	// OrderCheckpoint saves a run's progress, then stops it.
	OrderCheckpoint OrderKind = "checkpoint"
	// OrderStop stops a run and keeps a tombstone, so that a delayed start of
	// the run is refused.
	OrderStop OrderKind = "stop"
	// OrderForget removes a finished run from the worker's list once its
	// outcome is durable.
	OrderForget OrderKind = "forget"
)

// Order is one instruction to a worker about one run.
type Order struct {
	Kind OrderKind `json:"kind"`
	Run  RunID     `json:"run"`
	// Resources is what a start reserves.
	Resources Resources `json:"resources,omitzero"`
	// Declared is the declared need of the job of a start. Resources may be
	// more or less.
	Declared Resources `json:"declared,omitzero"`
	// Class is the job class of a start.
	Class string `json:"class,omitempty"`
	// WorkMS is the declared run time of a start, in milliseconds at full
	// speed; 0 for a job that runs until it is stopped.
	WorkMS int64 `json:"work_ms,omitempty"`
	// Checkpoint is the checkpoint that a start resumes from; empty to start
	// from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Percent is the CPU limit of a throttle, in percent of the run's
	// processors, from 1 to 100.
	Percent int `json:"percent,omitempty"`
}

// RunState is the state of a run as reported by its worker.
type RunState string

// The states of a run on its worker. All but RunRunning are final.
const (
	RunRunning RunState = "running"
	// RunDone: the run completed its work.
	RunDone RunState = "done"
	// RunFailed: the run's own process failed.
	RunFailed RunState = "failed"
	// RunKilled: the worker killed the run, for example because it ran out of
	// memory.
	RunKilled RunState = "killed"
	// RunStopped: an order stopped the run; its progress is saved if Checkpoint
	// is set.
	RunStopped RunState = "stopped"
	// RunExpired: the worker stopped the run because its lease expired.
	RunExpired RunState = "expired"
	// RunRefused: the worker refused the start; the run never ran.
	RunRefused RunState = "refused"
)

// RunReport is a worker's report on one run.
type RunReport struct {
	Run   RunID    `json:"run"`
	State RunState `json:"state"`
	// Reason explains a failed, killed or refused run.
	Reason string `json:"reason,omitempty"`
	// Checkpoint names the saved checkpoint, if any.
	Checkpoint string `json:"checkpoint,omitempty"`
	// DoneMS is the work done so far, in milliseconds at full speed.
	DoneMS int64 `json:"done_ms,omitempty"`
	// Usage is the run's recent resource usage; it lags.
	Usage Resources `json:"usage,omitzero"`
	// Resources is what the run reserves.
	Resources Resources `json:"resources,omitzero"`
	// Class is the run's job class.
	Class string `json:"class,omitempty"`
}

// Exchange is one message from the owner of a worker's shard. It renews the
// lease of every run on the worker, gives orders and requests what has changed.
// Without an incarnation it renews no lease, since nothing limits how late it
// may arrive; the owner sends another one once it has the reply.
type Exchange struct {
	// OwnerEpoch is the epoch of the shard's owner. A worker refuses an
	// exchange whose epoch is lower than the highest it has received.
	OwnerEpoch uint64 `json:"owner"`
	// LeaseMS is how long runs may continue after this exchange arrives without
	// another one, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// Since is the sequence number of the last reply received; 0 requests the
	// full list.
	Since uint64 `json:"since"`
	// Incarnation is the incarnation of the worker's agent from the last reply
	// received; empty before the first. It is required to renew leases and with
	// orders to start.
	Incarnation string `json:"incarnation,omitempty"`
	// ValidUntilMS is the time of the worker's clock, as in
	// ExchangeReply.ClockMS, after which the exchange has no effect. It is
	// ignored if Incarnation is empty.
	ValidUntilMS int64   `json:"valid_until_ms,omitempty"`
	Orders       []Order `json:"orders,omitempty"`
}

// Starts reports whether the exchange contains an order to start.
func (x Exchange) Starts() bool {
	return slices.ContainsFunc(x.Orders, func(o Order) bool { return o.Kind == OrderStart })
}

// ExchangeReply is a worker's reply to an Exchange.
type ExchangeReply struct {
	// Refused is set if the worker has received an exchange with a higher owner
	// epoch. The exchange then had no other effect.
	Refused bool `json:"refused,omitempty"`
	// Stale is set if the exchange was for another incarnation, arrived after
	// ValidUntilMS, or contained a start without an incarnation. The exchange
	// then had no other effect.
	Stale bool `json:"stale,omitempty"`
	// Incarnation identifies the current process of the worker's agent. A new
	// process has no record of the stops and owner epochs that an earlier one
	// received.
	Incarnation string `json:"incarnation"`
	// ClockMS is the worker's monotonic clock in milliseconds, from an
	// arbitrary origin within the incarnation.
	ClockMS int64 `json:"clock_ms"`
	// Seq is the sequence number to send as Since in the next exchange.
	Seq uint64 `json:"seq"`
	// FullList is set if Runs is the full list rather than the changes since
	// Since.
	FullList bool        `json:"whole,omitempty"`
	Runs     []RunReport `json:"runs,omitempty"`
	// LatencyMS is the recent tail latency of the latency-critical tasks on
	// this worker, by class, in milliseconds; it lags.
	LatencyMS map[string]float64 `json:"latency_ms,omitempty"`
}

// Workers sends exchanges to the agents of worker hosts.
type Workers interface {
	// Exchange sends one exchange to the worker at address. After an error the
	// orders may or may not have taken effect.
	Exchange(ctx context.Context, address string, x Exchange) (ExchangeReply, error)
}
