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

// methodRelay asks a host to relay an order to a worker; the answer is a relayedAnswer. A
// host of an earlier release doesn't know it, so that the owner sends the order itself.
// methodRelayPlain is the method of earlier releases, whose answer is a relayReply.
const (
	methodRelay      peer.Method = "d"
	methodRelayPlain peer.Method = "c"
)

// orderKind is the kind of a relayed order.
type orderKind uint8

// Kinds of relayed orders.
const (
	relayStart orderKind = iota + 1
	relayStop
	relayCPULimit
	relayRenewal
)

// relayRequest is an order to a worker, sent to a relay. It is encoded as an
// array to keep it small. Fields that a kind doesn't use are zero.
type relayRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Kind            orderKind
	Worker, Address string
	Task            taskID
	Run             uint64
	// Payload is the payload of the task's job. It is empty if the relay received
	// it with an earlier start of the job; PayloadSum is then its checksum.
	Payload    string
	PayloadSum uint64
	LeaseUntil int64
	Token      uint64
	Checkpoint string
	Permit     string
	Percent    int
	// Acknowledged and WaitMS belong to renewals.
	Acknowledged uint64
	WaitMS       int64
}

// taskID is a task's ID, encoded as an array.
type taskID struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Job                     string
	Occurrence, Step, Index int
}

// newTaskID returns the encoded form of a task's ID.
func newTaskID(t workload.TaskID) taskID {
	return taskID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

// id returns the task's ID.
func (t taskID) id() workload.TaskID {
	return workload.TaskID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

// relayedAnswer is the answer to a relayed order with the life of the worker that gave it.
type relayedAnswer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Reply       relayReply
	Incarnation runner.Incarnation
}

// relayReply is the worker's answer to a relayed order. Its fields can't change, as other
// releases couldn't decode it.
type relayReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// NoPayload is set if the relay doesn't have the payload; nothing was done.
	NoPayload bool
	Status    runner.Status
	ClockMS   int64
	Err       string
	Active    []activeRun
	Ends      []runEnd
	// incarnation is the life that answered, sent in a relayedAnswer.
	incarnation runner.Incarnation
}

// activeRun is an active run and runEnd an ended run in a worker's report.
type (
	activeRun struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

		Task    taskID
		Run     uint64
		Saved   string
		Percent int
		Usage   int64
	}
	runEnd struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

		Number uint64
		Task   taskID
		Run    uint64
		Kind   runner.EndKind
		Saved  string
	}
)

// newRelayReply returns the reply that carries a worker's answer and report.
func newRelayReply(a runner.Answer, rep *runner.Report) *relayReply {
	r := &relayReply{Status: a.Status, ClockMS: a.ClockMS, incarnation: a.Incarnation}
	if a.Err != nil {
		r.Err = a.Err.Error()
	}
	for i := range rep.Active {
		x := &rep.Active[i]
		r.Active = append(r.Active, activeRun{Task: newTaskID(x.Task), Run: x.Run, Saved: x.Checkpoint, Percent: x.Percent, Usage: x.Usage})
	}
	for i := range rep.Ends {
		x := &rep.Ends[i]
		r.Ends = append(r.Ends, runEnd{Number: x.Number, Task: newTaskID(x.Task), Run: x.Run, Kind: x.Kind, Saved: x.Checkpoint})
	}
	return r
}

// answer returns the worker's answer.
func (r *relayReply) answer() runner.Answer {
	a := runner.Answer{Status: r.Status, ClockMS: r.ClockMS, Incarnation: r.incarnation}
	if r.Err != "" {
		a.Err = errors.New(r.Err)
	}
	return a
}

// report returns the worker's report.
func (r *relayReply) report() runner.Report {
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

// executeRelayed sends a relayed order to its worker and returns the reply for
// the owner. It caches the payload of a start.
func (n *Node) executeRelayed(ctx context.Context, q *relayRequest) *relayReply {
	w := runner.Worker{ID: q.Worker, Address: q.Address, Capacity: infra.Resources{}}
	var rep runner.Report
	var a runner.Answer
	switch q.Kind {
	case relayStart:
		payload, ok := n.payloadCache.lookup(q.Task.Job, q.Payload, q.PayloadSum)
		if !ok {
			return &relayReply{NoPayload: true}
		}
		a = n.opts.Workers.Start(ctx, w, runner.Start{
			Task: q.Task.id(), Run: q.Run, Payload: payload, LeaseUntil: q.LeaseUntil, Token: q.Token,
			Checkpoint: q.Checkpoint, Permit: q.Permit,
		})
	case relayStop:
		a = n.opts.Workers.Stop(ctx, w, runner.Stop{Task: q.Task.id(), Run: q.Run, Token: q.Token})
	case relayCPULimit:
		a = n.opts.Workers.SetCPULimit(ctx, w, runner.CPULimit{Task: q.Task.id(), Run: q.Run, Percent: q.Percent, Token: q.Token})
	case relayRenewal:
		a, rep = n.opts.Workers.Renew(ctx, w, runner.Renewal{
			Token: q.Token, Acknowledged: q.Acknowledged, LeaseUntil: q.LeaseUntil, WaitMS: q.WaitMS,
		})
	default:
		a = runner.Answer{Status: runner.Invalid, Err: errors.Newf("unknown kind of relayed order: %d", q.Kind)}
	}
	return newRelayReply(a, &rep)
}

// handleRelayedOrders registers the handler of relayed orders.
func (n *Node) handleRelayedOrders() {
	n.server.Handle(methodRelay, func(ctx context.Context, _ string, decode func(any) error) (any, error) {
		var q relayRequest
		if err := decode(&q); err != nil {
			return nil, err
		}
		rep := n.executeRelayed(ctx, &q)
		return &relayedAnswer{Reply: *rep, Incarnation: rep.incarnation}, nil
	})
	n.server.Handle(methodRelayPlain, func(ctx context.Context, _ string, decode func(any) error) (any, error) {
		var q relayRequest
		if err := decode(&q); err != nil {
			return nil, err
		}
		return n.executeRelayed(ctx, &q), nil
	})
}

// relayHandshakeTimeout bounds the handshake of a new connection to a relay. It
// is below the order timeout, so that the owner can still send the order
// directly.
const relayHandshakeTimeout = 200 * time.Millisecond
