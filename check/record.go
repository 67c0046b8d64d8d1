package check

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// Record is one observed event. Just one of its pointers is set; it tells
// the kind.
type Record struct {
	// Seq rises by one with each record of a Recorder.
	Seq uint64 `json:"seq"`
	// At is when it was recorded.
	At time.Time `json:"at"`

	Sent            *Sent            `json:"sent,omitempty"`
	Answered        *Answered        `json:"answered,omitempty"`
	RequestBegan    *RequestBegan    `json:"request_began,omitempty"`
	RequestEnded    *RequestEnded    `json:"request_ended,omitempty"`
	RunBegan        *RunBegan        `json:"run_began,omitempty"`
	RunEnded        *RunEnded        `json:"run_ended,omitempty"`
	LeavingBegan    *LeavingBegan    `json:"leaving_began,omitempty"`
	LeavingEnded    *LeavingEnded    `json:"leaving_ended,omitempty"`
	DrainBegan      *DrainBegan      `json:"drain_began,omitempty"`
	DrainEnded      *DrainEnded      `json:"drain_ended,omitempty"`
	ConfigAccepted  *ConfigAccepted  `json:"config_accepted,omitempty"`
	ConfigInForce   *ConfigInForce   `json:"config_in_force,omitempty"`
	ConfigHostEnded *ConfigHostEnded `json:"config_host_ended,omitempty"`
}

// Sent says that a caller sent a request.
type Sent struct {
	// Call identifies the request of the caller, unique in the history.
	Call string `json:"call"`
	// Host is the entry host that it was sent to.
	Host string `json:"host"`
	// Digest is the Digest of the request's body.
	Digest string `json:"digest"`
	// BookingKey is its idempotency key, if any.
	BookingKey string `json:"booking_key,omitempty"`
}

// Answered says how a call ended for its caller.
type Answered struct {
	Call string `json:"call"`
	// Outcome is an outcome.Kind as text.
	Outcome string `json:"outcome"`
	// Echo is the digest of the request's body as the answer echoes it.
	EchoDigest string `json:"echo,omitempty"`
	// EchoCall is the call as the answer echoes it.
	EchoCall string `json:"echo_call,omitempty"`
	// Length is how many bytes of body came; Want is how many the endpoint
	// said that it would send.
	Length     int64 `json:"length,omitempty"`
	WantLength int64 `json:"want,omitempty"`
	// BodyDigest is the Digest of the body that came; WantDigest is what the
	// endpoint said it would be.
	BodyDigest string `json:"body_digest,omitempty"`
	WantDigest string `json:"want_digest,omitempty"`
}

// RequestBegan says that an endpoint began to work on a request.
type RequestBegan struct {
	Endpoint string `json:"endpoint"`
	// Serial identifies the work at the endpoint.
	Serial uint64 `json:"serial"`
	// Request is the Fireflygate-Request-Id.
	Request string `json:"request"`
	// Call is the caller's own identifier, as passed through.
	Call       string `json:"call,omitempty"`
	Method     string `json:"method"`
	BookingKey string `json:"booking_key,omitempty"`
	Digest     string `json:"digest"`
	// Slots is how many requests the endpoint holds.
	Slots int `json:"slots"`
}

// RequestEnded says that the work on a request ended.
type RequestEnded struct {
	Endpoint string `json:"endpoint"`
	Serial   uint64 `json:"serial"`
	// CallerDisconnected is set when the connection had gone before the end.
	CallerDisconnected bool `json:"caller_gone,omitempty"`
}

// RunBegan says that a worker began a run.
type RunBegan struct {
	Worker    string          `json:"worker"`
	Run       infra.RunID     `json:"run"`
	Resources infra.Resources `json:"resources"`
	Capacity  infra.Resources `json:"capacity"`
	// Checkpoint is what it resumed from, if anything.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// RunEnded says that a run no longer works on its worker.
type RunEnded struct {
	Worker string         `json:"worker"`
	Run    infra.RunID    `json:"run"`
	State  infra.RunState `json:"state"`
	// Checkpoint is the progress saved, if any.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// LeavingBegan says that the membership list published a member as leaving.
type LeavingBegan struct {
	Member string `json:"member"`
}

// LeavingEnded says that the list published the member as live again.
type LeavingEnded struct {
	Member string `json:"member"`
}

// DrainBegan says that a planned stop of an entry host began.
type DrainBegan struct {
	Host string `json:"host"`
}

// DrainEnded says that the entry host has stopped.
type DrainEnded struct {
	Host string `json:"host"`
}

// ConfigAccepted says that a configuration was accepted.
type ConfigAccepted struct {
	Version uint64 `json:"version"`
}

// ConfigApplied says which version an entry host has in force.
type ConfigInForce struct {
	Host    string `json:"host"`
	Version uint64 `json:"version"`
}

// ConfigHostEnded says that an entry host is gone, so that no version has to
// come in force there any more. A later ConfigApplied is a new process.
type ConfigHostEnded struct {
	Host string `json:"host"`
}
