package control

import (
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/workload"
)

// The methods between entry hosts.
const (
	methodPing    peer.Method = "control.ping"
	methodSubmit  peer.Method = "control.submit"
	methodState   peer.Method = "control.state"
	methodCancel  peer.Method = "control.cancel"
	methodPending peer.Method = "control.pending"
)

// pingRequest asks the owner how it is.
type pingRequest struct {
	Epoch uint64 `msgpack:"e"`
	// Address is where the asking host serves its peers.
	Address string `msgpack:"a"`
	// Hosts is how many hosts it knows.
	Hosts int `msgpack:"h"`
	// Cores are its processors, 0 if it neither takes the domain nor carries
	// orders: it stops.
	Cores float64 `msgpack:"c"`
	Zone  string  `msgpack:"z"`
}

// pingReply is the owner's answer.
type pingReply struct {
	// Owner is false if the host doesn't own the domain.
	Owner       bool   `msgpack:"o"`
	Epoch       uint64 `msgpack:"e"`
	Incarnation string `msgpack:"i"`
	// CommitAgeMS is the age of its last commit.
	CommitAgeMS int64 `msgpack:"a"`
	// Version is the version of the owner's row after that commit.
	Version uint64 `msgpack:"v"`
	// Relays is how many hosts of each zone carry the owner's orders.
	Relays int `msgpack:"r"`
	// Hosts are the addresses of all hosts that the owner knows, sent if the
	// asking host knows fewer.
	Hosts []string `msgpack:"h,omitempty"`
}

// answer returns what it says of the ownership.
func (r *pingReply) answer() election.Status {
	return election.Status{
		Incarnation: r.Incarnation, Owner: r.Owner, Epoch: r.Epoch, CommitAge: time.Duration(r.CommitAgeMS) * time.Millisecond,
	}
}

// submitRequest hands a job in.
type submitRequest struct {
	Job   workload.Job   `msgpack:"j"`
	Queue workload.Queue `msgpack:"q"`
}

// jobRequest asks about, or cancels, one job.
type jobRequest struct {
	ID string `msgpack:"i"`
}

// pendingRequest asks for the jobs of a queue that haven't begun.
type pendingRequest struct {
	Queue string `msgpack:"q"`
}

// reply is the owner's answer to the requests above.
type reply struct {
	Result Result         `msgpack:"r"`
	State  workload.State `msgpack:"s"`
	Count  int            `msgpack:"n"`
	// RetryAfterMS says, for a refusal, when to come back.
	RetryAfterMS int64 `msgpack:"w"`
}
