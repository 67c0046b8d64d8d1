// Package booking makes a request that carries an idempotency key run at most
// once, however often and on whichever entry host it arrives. A claim is
// durable before the request is dispatched, and the outcome is kept for
// retries.
package booking
