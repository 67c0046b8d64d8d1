// Package booking runs a request with an idempotency key at most once, no
// matter how often and at which entry hosts it arrives. A claim of the key is
// durable before the request is dispatched, and the outcome is stored for
// retries.
package booking
