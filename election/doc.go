// Package election decides which entry host owns a scheduling domain. The
// owner is named by one row of the table service, which every commit of the
// owner replaces under the condition that nobody else has: so the row is
// lease, heartbeat and fence in one, and a transaction that is applied late
// or twice changes nothing.
package election
