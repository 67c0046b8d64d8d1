// Package fairshare decides how the processors of a pool of workers are shared among
// queues with guaranteed shares: which queue has a claim, which goes first, and how much
// may be reclaimed from which queue. It also checks the shares of a configuration. It is
// made for a burst in one queue alongside another queue's steady demand that together
// exceed the pool. It has no clock and does no I/O.
package fairshare
