package infra

import (
	"context"
	"slices"
)

// RunID names one run of a task. A higher epoch of the same job supersedes
// every lower one.
type RunID struct {
	Job   string `json:"job" msgpack:"j"`
	Epoch uint64 `json:"epoch" msgpack:"e"`
}

// OrderKind is what a worker is asked to do with a run.
type OrderKind string

// The orders. Each is idempotent for its run.
const (
	// OrderStart starts a run, from the checkpoint named if there is one. A
	// worker refuses it when it has seen a stop of the same run or any
	// order for a higher epoch of the job.
	OrderStart OrderKind = "start"
	// OrderThrottle limits a run to a share of its processors.
	OrderThrottle OrderKind = "throttle"
	// OrderCheckpoint saves a run's progress, then stops it.
	OrderCheckpoint OrderKind = "checkpoint"
	// OrderStop stops a run and keeps a tombstone, so that a start that
	// arrives later is refused.
	OrderStop OrderKind = "stop"
	// OrderForget drops a finished run from the worker's list once its
	// outcome is durable.
	OrderForget OrderKind = "forget"
)

// Order is one instruction to a worker.
type Order struct {
	Kind OrderKind `json:"kind"`
	Run  RunID     `json:"run"`
	// Resources is what a start reserves.
	Resources Resources `json:"resources,omitzero"`
	// Declared is what the job of a start was declared to need, which
	// Resources may differ from either way.
	Declared Resources `json:"declared,omitzero"`
	// Class is the job class of a start.
	Class string `json:"class,omitempty"`
	// WorkMS is the declared run time of a start, in milliseconds at full
	// speed; 0 for a standing job.
	WorkMS int64 `json:"work_ms,omitempty"`
	// Checkpoint names what a start resumes from; empty for the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Percent is the share of its processors that a throttle leaves, 1 to 100.
	Percent int `json:"percent,omitempty"`
}

// RunState is what a worker says of a run.
type RunState string

// The states of a run on its worker. All but RunRunning are final.
const (
	RunRunning RunState = "running"
	// RunDone: it finished its work.
	RunDone RunState = "done"
	// RunFailed: it failed by itself.
	RunFailed RunState = "failed"
	// RunKilled: the worker's guard killed it, for instance out of memory.
	RunKilled RunState = "killed"
	// RunStopped: it was stopped by an order, with a checkpoint if
	// Checkpoint is set.
	RunStopped RunState = "stopped"
	// RunExpired: its lease lapsed and the worker stopped it.
	RunExpired RunState = "expired"
	// RunRefused: the worker refused the start; it never ran.
	RunRefused RunState = "refused"
)

// RunReport is a worker's word on one run.
type RunReport struct {
	Run   RunID    `json:"run"`
	State RunState `json:"state"`
	// Reason explains a failed, killed or refused run.
	Reason string `json:"reason,omitempty"`
	// Checkpoint names the progress saved, if any.
	Checkpoint string `json:"checkpoint,omitempty"`
	// DoneMS is the work done so far, in milliseconds at full speed.
	DoneMS int64 `json:"done_ms,omitempty"`
	// Usage is what the run used lately; it lags.
	Usage Resources `json:"usage,omitzero"`
	// Resources is what it reserves.
	Resources Resources `json:"resources,omitzero"`
	// Class is its job class.
	Class string `json:"class,omitempty"`
}

// Exchange is one message from the owner of a worker's shard: it renews the
// lease of every run on the worker, gives orders and asks what changed.
type Exchange struct {
	// OwnerEpoch is the epoch of the shard's owner. A worker refuses an exchange
	// from an epoch lower than the highest it has seen.
	OwnerEpoch uint64 `json:"owner"`
	// LeaseMS is how long runs may go on without another exchange, in
	// milliseconds from its arrival.
	LeaseMS int64 `json:"lease_ms"`
	// Since is the sequence number of the last reply that was read; 0 asks
	// for the whole list.
	Since uint64 `json:"since"`
	// Incarnation is the worker's life that the exchange is made for, as of
	// the last reply that was read; empty before the first. Orders to start
	// need it.
	Incarnation string `json:"incarnation,omitempty"`
	// ValidUntilMS is the time of the worker's own clock, as replies tell it,
	// after which the exchange takes no effect. It counts only with an
	// Incarnation.
	ValidUntilMS int64   `json:"valid_until_ms,omitempty"`
	Orders       []Order `json:"orders,omitempty"`
}

// Starts reports whether the exchange carries an order to start.
func (x Exchange) Starts() bool {
	return slices.ContainsFunc(x.Orders, func(o Order) bool { return o.Kind == OrderStart })
}

// ExchangeReply is a worker's answer.
type ExchangeReply struct {
	// Refused is set when a higher owner epoch has been seen; then nothing
	// else of the exchange took effect.
	Refused bool `json:"refused,omitempty"`
	// Stale is set when the exchange was made for another incarnation, came
	// after its time, or gives a start without an incarnation; then nothing
	// else of it took effect.
	Stale bool `json:"stale,omitempty"`
	// Incarnation names this life of the worker's agent. A new one knows
	// nothing of the stops and owners that an earlier one was told of.
	Incarnation string `json:"incarnation"`
	// ClockMS is the time of the worker's monotonic clock, in milliseconds
	// from any moment within its incarnation.
	ClockMS int64 `json:"clock_ms"`
	// Seq is the sequence number to pass as Since next.
	Seq uint64 `json:"seq"`
	// FullList is set when Runs is the whole list rather than the changes.
	FullList bool        `json:"whole,omitempty"`
	Runs     []RunReport `json:"runs,omitempty"`
	// LatencyMS is the recent tail latency of latency-critical tasks on
	// this worker by class, in milliseconds; it lags.
	LatencyMS map[string]float64 `json:"latency_ms,omitempty"`
}

// Workers reaches the agents of worker hosts.
type Workers interface {
	// Exchange sends one exchange to the worker at address. An error means
	// that the orders may or may not have taken effect.
	Exchange(ctx context.Context, address string, x Exchange) (ExchangeReply, error)
}
