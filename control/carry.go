package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// methodCarry has a host carry an order to a worker.
const methodCarry peer.Method = "c"

// orderKind says what a carried order is.
type orderKind uint8

// The kinds of orders.
const (
	carryStart orderKind = iota + 1
	carryStop
	carryPace
	carryRenewal
)

// carryRequest is an order for a worker, by whichever host can reach it. It is
// written as an array: there are some thousand a second. Fields that a kind
// doesn't use are zero.
type carryRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Kind            orderKind
	Worker, Address string
	Task            taskName
	Run             uint64
	// Payload is the job's. If the host was told it with an earlier start of the
	// job, it is left out, and PayloadSum is its sum.
	Payload    string
	PayloadSum uint64
	LeaseUntil int64
	Token      uint64
	Checkpoint string
	Permit     string
	Percent    int
	// Acknowledged and WaitMS are a renewal's.
	Acknowledged uint64
	WaitMS       int64
}

// taskName is a task's name as an array.
type taskName struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Job                     string
	Occurrence, Step, Index int
}

// nameOf returns a task's name for a message.
func nameOf(t workload.TaskID) taskName {
	return taskName{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

// id returns the task that a message names.
func (t taskName) id() workload.TaskID {
	return workload.TaskID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

// carryReply is the worker's answer.
type carryReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// NoPayload is set if the host doesn't know the payload; nothing was done.
	NoPayload bool
	Status    runner.Status
	ClockMS   int64
	Err       string
	Active    []activeRow
	Ends      []endRow
}

// activeRow is a run at work, endRow one that is over.
type (
	activeRow struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

		Task    taskName
		Run     uint64
		Saved   string
		Percent int
		Usage   int64
	}
	endRow struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

		Number uint64
		Task   taskName
		Run    uint64
		Kind   runner.EndKind
		Saved  string
	}
)

// replyOf returns the message for a worker's answer.
func replyOf(a runner.Answer, rep *runner.Report) *carryReply {
	r := &carryReply{Status: a.Status, ClockMS: a.ClockMS}
	if a.Err != nil {
		r.Err = a.Err.Error()
	}
	for i := range rep.Active {
		x := &rep.Active[i]
		r.Active = append(r.Active, activeRow{Task: nameOf(x.Task), Run: x.Run, Saved: x.Checkpoint, Percent: x.Percent, Usage: x.Usage})
	}
	for i := range rep.Ends {
		x := &rep.Ends[i]
		r.Ends = append(r.Ends, endRow{Number: x.Number, Task: nameOf(x.Task), Run: x.Run, Kind: x.Kind, Saved: x.Checkpoint})
	}
	return r
}

// answer returns the worker's answer that a message holds.
func (r *carryReply) answer() runner.Answer {
	a := runner.Answer{Status: r.Status, ClockMS: r.ClockMS}
	if r.Err != "" {
		a.Err = errors.New(r.Err)
	}
	return a
}

// report returns the worker's report that a message holds.
func (r *carryReply) report() runner.Report {
	rep := runner.Report{ClockMS: r.ClockMS}
	for i := range r.Active {
		x := &r.Active[i]
		rep.Active = append(rep.Active, runner.ActiveRun{Task: x.Task.id(), Run: x.Run, Checkpoint: x.Saved, Percent: x.Percent, Usage: x.Usage})
	}
	for i := range r.Ends {
		x := &r.Ends[i]
		rep.Ends = append(rep.Ends, runner.RunEnd{Number: x.Number, Task: x.Task.id(), Run: x.Run, Kind: x.Kind, Checkpoint: x.Saved})
	}
	return rep
}

// carry gives an order to a worker for the owner.
func (n *Node) carry(ctx context.Context, q *carryRequest) *carryReply {
	w := runner.Worker{ID: q.Worker, Address: q.Address, Capacity: infra.Resources{}}
	var rep runner.Report
	var a runner.Answer
	switch q.Kind {
	case carryStart:
		payload, ok := n.payloads.of(q.Task.Job, q.Payload, q.PayloadSum)
		if !ok {
			return &carryReply{NoPayload: true}
		}
		a = n.opts.Workers.Start(ctx, w, runner.Start{
			Task: q.Task.id(), Run: q.Run, Payload: payload, LeaseUntil: q.LeaseUntil, Token: q.Token,
			Checkpoint: q.Checkpoint, Permit: q.Permit,
		})
	case carryStop:
		a = n.opts.Workers.Stop(ctx, w, runner.Stop{Task: q.Task.id(), Run: q.Run, Token: q.Token})
	case carryPace:
		a = n.opts.Workers.SetCPULimit(ctx, w, runner.CPULimit{Task: q.Task.id(), Run: q.Run, Percent: q.Percent, Token: q.Token})
	case carryRenewal:
		a, rep = n.opts.Workers.Renew(ctx, w, runner.Renewal{
			Token: q.Token, Acknowledged: q.Acknowledged, LeaseUntil: q.LeaseUntil, WaitMS: q.WaitMS,
		})
	default:
		a = runner.Answer{Status: runner.Invalid, Err: errors.Newf("order of kind %d", q.Kind)}
	}
	return replyOf(a, &rep)
}

// handleCarry registers the answer to carried orders.
func (n *Node) handleCarry() {
	n.server.Handle(methodCarry, func(ctx context.Context, _ string, decode func(any) error) (any, error) {
		var q carryRequest
		if err := decode(&q); err != nil {
			return nil, err
		}
		return n.carry(ctx, &q), nil
	})
}

// carryHandshake bounds a new connection to a relay: less than an order waits,
// so that the owner can still give the order itself.
const carryHandshake = 200 * time.Millisecond
