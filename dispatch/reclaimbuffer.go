package dispatch

import (
	"github.com/fireflygate/fireflygate/preempt"
)

// reclaimBuffer is the storage of an attempt to reclaim capacity, for reuse.
type reclaimBuffer struct {
	chooser    preempt.Chooser
	victims    []preempt.Victim
	candidates []reclaimCandidate
}

// reclaimCandidate is a worker where capacity can be reclaimed, and the work lost with
// it, in core-milliseconds.
type reclaimCandidate struct {
	w    *worker
	loss int64
}
