package control

import (
	"time"

	"github.com/fireflygate/fireflygate/closedzones"
	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/workload"
)

// Methods between entry hosts.
const (
	methodPing    peer.Method = "control.ping"
	methodSubmit  peer.Method = "control.submit"
	methodState   peer.Method = "control.state"
	methodCancel  peer.Method = "control.cancel"
	methodPending peer.Method = "control.pending"
)

// pingRequest asks the owner for its status.
type pingRequest struct {
	Epoch uint64 `msgpack:"e"`
	// Address is the peer address of the pinging host.
	Address string `msgpack:"a"`
	// Hosts is the number of hosts known to the pinging host.
	Hosts int `msgpack:"h"`
	// Cores is the number of processors that the pinging host offers, 0 if it is
	// stopping and neither accepts the domain nor relays orders.
	Cores float64 `msgpack:"c"`
	Zone  string  `msgpack:"z"`
	// Life is the checksum of the pinging process's incarnation, 0 from hosts of earlier
	// releases.
	Life uint64 `msgpack:"l,omitempty"`
	// ClosedZones is the newest set known to the pinging host, nil if it knows none.
	ClosedZones *closedzones.Set `msgpack:"x,omitempty"`
}

// pingReply is the status of the pinged host.
type pingReply struct {
	// Owner is set if the host owns the domain.
	Owner       bool   `msgpack:"o"`
	Epoch       uint64 `msgpack:"e"`
	Incarnation string `msgpack:"i"`
	// CommitAgeMS is the age of the owner's last commit in milliseconds.
	CommitAgeMS int64 `msgpack:"a"`
	// AnswerAgeMS is the time since the store last answered the owner in milliseconds, at
	// least 1. It is 0 from hosts of earlier releases.
	AnswerAgeMS int64 `msgpack:"s,omitempty"`
	// Version is the version of the owner's row after that commit.
	Version uint64 `msgpack:"v"`
	// Relays is the number of relays per availability zone.
	Relays int `msgpack:"r"`
	// Hosts are the addresses of all hosts known to the owner, sent only if the
	// pinging host knows fewer.
	Hosts []string `msgpack:"h,omitempty"`
	// ClosedZones is the newest set known to the pinged host, nil if it knows none.
	ClosedZones *closedzones.Set `msgpack:"x,omitempty"`
	// Loads are the loads of queues at the owner, nil if there are none.
	Loads *loadSummary `msgpack:"l,omitempty"`
}

// status returns the host's ownership status.
func (r *pingReply) status() election.Status {
	return election.Status{
		Incarnation: r.Incarnation, Owner: r.Owner, Epoch: r.Epoch, CommitAge: time.Duration(r.CommitAgeMS) * time.Millisecond,
		AnswerAge: time.Duration(r.AnswerAgeMS) * time.Millisecond,
	}
}

// submitRequest submits a job.
type submitRequest struct {
	Job   workload.Job   `msgpack:"j"`
	Queue workload.Queue `msgpack:"q"`
	// LimitMS is what is left of the caller's time limit in milliseconds when the
	// request is sent, 0 if unknown, as from hosts of earlier releases.
	LimitMS int64 `msgpack:"l,omitempty"`
}

// jobRequest queries or cancels a job.
type jobRequest struct {
	ID string `msgpack:"i"`
}

// pendingRequest asks for the number of a queue's jobs that haven't started.
type pendingRequest struct {
	Queue string `msgpack:"q"`
}

// reply is the owner's answer to a request about jobs.
type reply struct {
	Result Result         `msgpack:"r"`
	State  workload.State `msgpack:"s"`
	// Reason is why the job has failed, if it has.
	Reason string `msgpack:"f,omitempty"`
	Count  int    `msgpack:"n"`
	// RetryAfterMS is the time in milliseconds after which to retry a refused
	// request.
	RetryAfterMS int64 `msgpack:"w"`
}
