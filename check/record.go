package check

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// Record is one observed event. Exactly one of its pointers is set, according to
// the kind of event.
type Record struct {
	// Seq increases by one with each record of a Recorder, starting at 1.
	Seq uint64 `json:"seq"`
	// At is the time of recording.
	At time.Time `json:"at"`

	Sent            *Sent            `json:"sent,omitempty"`
	Answered        *Answered        `json:"answered,omitempty"`
	RequestBegan    *RequestBegan    `json:"request_began,omitempty"`
	RequestEnded    *RequestEnded    `json:"request_ended,omitempty"`
	RunBegan        *RunBegan        `json:"run_began,omitempty"`
	RunEnded        *RunEnded        `json:"run_ended,omitempty"`
	LeavingBegan    *LeavingBegan    `json:"leaving_began,omitempty"`
	LeavingEnded    *LeavingEnded    `json:"leaving_ended,omitempty"`
	ZoneClosed      *ZoneClosed      `json:"zone_closed,omitempty"`
	ZoneOpened      *ZoneOpened      `json:"zone_opened,omitempty"`
	DrainBegan      *DrainBegan      `json:"drain_began,omitempty"`
	DrainEnded      *DrainEnded      `json:"drain_ended,omitempty"`
	ConfigAccepted  *ConfigAccepted  `json:"config_accepted,omitempty"`
	ConfigInForce   *ConfigInForce   `json:"config_in_force,omitempty"`
	ConfigHostEnded *ConfigHostEnded `json:"config_host_ended,omitempty"`
}

// Sent records that a caller sent a request.
type Sent struct {
	// Call is the caller's identifier of the request, unique in the history.
	Call string `json:"call"`
	// Host is the entry host that the request was sent to.
	Host string `json:"host"`
	// Digest is the Digest of the request's body.
	Digest string `json:"digest"`
	// BookingKey is the idempotency key, if any.
	BookingKey string `json:"booking_key,omitempty"`
}

// Answered records the outcome of a call for its caller.
type Answered struct {
	Call string `json:"call"`
	// Outcome is the text of an outcome.Kind.
	Outcome string `json:"outcome"`
	// EchoDigest is the digest of the request body, as echoed by the answer.
	EchoDigest string `json:"echo,omitempty"`
	// EchoCall is the call identifier, as echoed by the answer.
	EchoCall string `json:"echo_call,omitempty"`
	// Length is the number of body bytes received; WantLength is the number that
	// the endpoint announced.
	Length     int64 `json:"length,omitempty"`
	WantLength int64 `json:"want,omitempty"`
	// BodyDigest is the Digest of the received body; WantDigest is the one that
	// the endpoint announced.
	BodyDigest string `json:"body_digest,omitempty"`
	WantDigest string `json:"want_digest,omitempty"`
}

// RequestBegan records that an endpoint started to process a request.
type RequestBegan struct {
	Endpoint string `json:"endpoint"`
	// Zone is the endpoint's availability zone, if known.
	Zone string `json:"zone,omitempty"`
	// Life counts the lives of the endpoint under its name, 0 if unknown. Serial
	// identifies the request within one.
	Life   uint64 `json:"life,omitempty"`
	Serial uint64 `json:"serial"`
	// Request is the value of the Fireflygate-Request-Id header.
	Request string `json:"request"`
	// Call is the caller's identifier, as forwarded by the entry host.
	Call       string `json:"call,omitempty"`
	Method     string `json:"method"`
	BookingKey string `json:"booking_key,omitempty"`
	Digest     string `json:"digest"`
	// Slots is the maximum number of concurrent requests at the endpoint.
	Slots int `json:"slots"`
}

// RequestEnded records that an endpoint stopped processing a request.
type RequestEnded struct {
	Endpoint string `json:"endpoint"`
	Life     uint64 `json:"life,omitempty"`
	Serial   uint64 `json:"serial"`
	// CallerDisconnected is set if the connection closed before the request ended.
	CallerDisconnected bool `json:"caller_gone,omitempty"`
}

// RunBegan records that a worker started a run.
type RunBegan struct {
	Worker string `json:"worker"`
	// Zone is the worker's availability zone, if known.
	Zone      string          `json:"zone,omitempty"`
	Run       infra.RunID     `json:"run"`
	Resources infra.Resources `json:"resources"`
	Capacity  infra.Resources `json:"capacity"`
	// Checkpoint is the checkpoint that the run resumed from, if any.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// RunEnded records that a run ended on its worker.
type RunEnded struct {
	Worker string         `json:"worker"`
	Run    infra.RunID    `json:"run"`
	State  infra.RunState `json:"state"`
	// Checkpoint is the checkpoint that the run saved, if any.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// LeavingBegan records that the membership list published a member as leaving.
type LeavingBegan struct {
	Member string `json:"member"`
}

// LeavingEnded records that the membership list published the member as live again.
type LeavingEnded struct {
	Member string `json:"member"`
}

// ZoneClosed records that an operator's request to close an availability zone was
// accepted.
type ZoneClosed struct {
	Zone string `json:"zone"`
}

// ZoneOpened records that a zone was opened again.
type ZoneOpened struct {
	Zone string `json:"zone"`
}

// DrainBegan records the beginning of the planned stop of an entry host.
type DrainBegan struct {
	Host string `json:"host"`
}

// DrainEnded records that an entry host exited after a planned stop.
type DrainEnded struct {
	Host string `json:"host"`
}

// ConfigAccepted records that a configuration version was accepted.
type ConfigAccepted struct {
	Version uint64 `json:"version"`
}

// ConfigInForce records the configuration version that an entry host applies.
type ConfigInForce struct {
	Host    string `json:"host"`
	Version uint64 `json:"version"`
}

// ConfigHostEnded records that the process of an entry host ended. A later
// ConfigInForce for the same host comes from a new process.
type ConfigHostEnded struct {
	Host string `json:"host"`
}
