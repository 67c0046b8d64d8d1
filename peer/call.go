package peer

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/outcome"
)

// The states of a call's frame. Only the step away from callQueued is raced
// for, by the writer and by whoever gives the call up.
const (
	callQueued int32 = iota
	callWriting
	callWithdrawn
)

// call is one request in a client connection.
type call struct {
	id    uint64
	frame []byte
	state atomic.Int32
	// done takes the reply or a failure; it holds one, so that nobody waits
	// to deliver it.
	done chan answer
}

// answer is a reply, or the error that ended the connection.
type answer struct {
	reply *message
	err   error
}

// startWriting claims the frame for the writer; false if it was withdrawn.
func (c *call) startWriting() bool {
	return c.state.CompareAndSwap(callQueued, callWriting)
}

// giveUp ends the call without a reply. It is not run only if the writer can
// no longer pick the frame up.
func (c *call) giveUp(err error) Result {
	if c.state.CompareAndSwap(callQueued, callWithdrawn) {
		return Result{Kind: outcome.NotRun, Err: err}
	}
	return Result{Kind: outcome.Unknown, Err: err}
}

// resolve turns an answer into a result, decoding it into reply.
func (c *call) resolve(a answer, reply any) Result {
	if a.err != nil {
		return c.giveUp(a.err)
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
