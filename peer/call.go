package peer

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/outcome"
)

// The states of a call's frame. The writer and the abandoning caller compete
// for the transition out of callQueued.
const (
	callQueued int32 = iota
	callWriting
	callAbandoned
)

// call is one request on a client connection.
type call struct {
	id    uint64
	frame []byte
	state atomic.Int32
	// done receives the reply or the failure. It is buffered, so that delivery
	// never blocks.
	done chan answer
}

// answer is a reply, or the error that ended the connection.
type answer struct {
	reply *message
	err   error
}

// startWriting claims the frame for the writer. It returns false if the call
// was abandoned.
func (c *call) startWriting() bool {
	return c.state.CompareAndSwap(callQueued, callWriting)
}

// abandon ends the call without a reply. The result is NotRun only if the
// frame was not yet claimed by the writer, and Unknown otherwise.
func (c *call) abandon(err error) Result {
	if c.state.CompareAndSwap(callQueued, callAbandoned) {
		return Result{Kind: outcome.NotRun, Err: err}
	}
	return Result{Kind: outcome.Unknown, Err: err}
}

// decodeReply converts an answer to a result and decodes its body into reply.
func (c *call) decodeReply(a answer, reply any) Result {
	if a.err != nil {
		return c.abandon(a.err)
	}
	switch a.reply.Status {
	case statusRefused:
		return Result{Kind: outcome.NotRun, Err: errors.Wrap(ErrRefused, a.reply.Error)}
	case statusAnswered:
		if reply == nil {
			return Result{Kind: outcome.Answered}
		}
		if err := msgpack.Unmarshal(a.reply.Body, reply); err != nil {
			return Result{Kind: outcome.Unknown, Err: errors.Wrap(err, "decode reply")}
		}
		return Result{Kind: outcome.Answered}
	default:
		return Result{Kind: outcome.Unknown, Err: errors.Wrap(ErrRemote, a.reply.Error)}
	}
}
