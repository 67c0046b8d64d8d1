package infra

import "context"

// MemberKind is the kind of a member of the platform's list.
type MemberKind string

// The kinds of members.
const (
	EntryHost MemberKind = "entry_host"
	Endpoint  MemberKind = "endpoint"
	Worker    MemberKind = "worker"
)

// MemberState is the state of a member according to the list.
type MemberState string

// The states of members. A member that has left is not in the list.
const (
	Live    MemberState = "live"
	Leaving MemberState = "leaving"
)

// Member is one entry of the platform's membership list.
type Member struct {
	Kind MemberKind `json:"kind"`
	// Name is unique among members of all kinds.
	Name string `json:"name"`
	// Address is IP:port: an entry host's peer port, an endpoint's HTTP
	// port or a worker's control port.
	Address string      `json:"address"`
	Region  string      `json:"region"`
	Zone    string      `json:"zone"`
	Rack    string      `json:"rack"`
	State   MemberState `json:"state"`
	// Service is the service that an endpoint belongs to.
	Service string `json:"service,omitempty"`
	// Slots is the number of requests an endpoint serves concurrently.
	Slots int `json:"slots,omitempty"`
	// Connections is the number of connections an endpoint accepts.
	Connections int `json:"connections,omitempty"`
	// Capacity is the total resources of a worker.
	Capacity Resources `json:"capacity,omitzero"`
}

// MemberList is one revision of the list. Revisions only increase.
type MemberList struct {
	Revision uint64   `json:"revision"`
	Members  []Member `json:"members"`
}

// Members is the platform's membership service.
type Members interface {
	// List reads the newest list, which may lag behind the actual membership.
	List(ctx context.Context) (MemberList, error)
}
