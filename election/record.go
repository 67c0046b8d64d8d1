package election

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// OwnerKey is the key of the owner's row.
const OwnerKey = "owner"

// Record is the owner's row.
type Record struct {
	// Host is the owner's name, Address its address for peers.
	Host    string `msgpack:"h"`
	Address string `msgpack:"a"`
	// Incarnation identifies the owner's process.
	Incarnation string `msgpack:"i"`
	// Epoch increases with each change of owner.
	Epoch uint64 `msgpack:"e"`
	// Seq counts the owner's commits.
	Seq uint64 `msgpack:"s"`
	// Cores is the reference for takeovers: the number of processors of the strongest
	// host known to this owner and, until it has owned the domain for
	// referenceRetention, to the owners before it. Hosts with fewer wait longer before
	// a takeover (see TakeoverDelay).
	Cores float64 `msgpack:"c,omitempty"`
	// Hosts is the number of hosts that the owner knew.
	Hosts int `msgpack:"n,omitempty"`
	// HandedOver is set by an owner that hands the domain over to a stronger host.
	HandedOver bool `msgpack:"o,omitempty"`
	// Resigned is set by an owner that has stopped giving orders.
	Resigned bool `msgpack:"r,omitempty"`
	// RosterEpochs is set once the roster tells in which epochs workers got leases, those
	// of this owner included.
	RosterEpochs bool `msgpack:"l,omitempty"`
	// NeedsMajority is set by owners that give orders without commits only while most
	// workers accept them (see MinorityValidity).
	NeedsMajority bool `msgpack:"m,omitempty"`
	// LimitsLeases is set by owners that give leases within LeaseLimit.
	LimitsLeases bool `msgpack:"b,omitempty"`
	// Limits are the limits that they keep to, nil in rows of releases that don't tell them.
	Limits *LeaseLimits `msgpack:"v,omitempty"`
	// RosterOf is the epoch of the last owner that may have added workers to the roster or
	// removed some, 0 if unknown.
	RosterOf uint64 `msgpack:"t,omitempty"`
	// Clock is the latest time that the table service's clock can have shown when the commit of
	// the row began, in milliseconds; 0 if unknown.
	Clock int64 `msgpack:"w,omitempty"`
	// Unleased names workers that don't answer and get no leases.
	Unleased []UnleasedWorker `msgpack:"u,omitempty"`
	// ListsEarlier is set by owners that keep Earlier.
	ListsEarlier bool `msgpack:"k,omitempty"`
	// Earlier lists the owners before this one that may still give orders, or leases of
	// which may last.
	Earlier []EarlierOwner `msgpack:"p,omitempty"`
}

// SameOwnership reports whether both rows describe the same ownership.
func (r *Record) SameOwnership(o *Record) bool {
	return r.Epoch == o.Epoch && r.Incarnation == o.Incarnation
}

// Encode returns the row's stored value.
func (r *Record) Encode() ([]byte, error) {
	value, err := msgpack.Marshal(r)
	return value, errors.Wrap(err, "encode owner row")
}

// encodeWithin returns the stored value of the row in at most the given number of bytes. Where
// the names of hosts are long, it lists the first earlier owners as one.
func (r *Record) encodeWithin(most int) ([]byte, error) {
	value, err := r.Encode()
	for err == nil && len(value) > most && len(r.Earlier) > 1 {
		merged := r.Earlier[0].merge(&r.Earlier[1])
		r.Earlier = append([]EarlierOwner{merged}, r.Earlier[2:]...)
		value, err = r.Encode()
	}
	return value, err
}

// Decode decodes the stored value of the owner's row.
func Decode(value []byte) (Record, error) {
	var r Record
	err := msgpack.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode owner row")
}
