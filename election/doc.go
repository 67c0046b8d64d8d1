// Package election decides which entry host owns a scheduling domain. One row
// of the table service names the owner. Every commit of the owner replaces that
// row, on condition that its version is unchanged. The row therefore serves as
// lease, heartbeat and fence, and a transaction that is applied late or
// repeatedly has no effect.
package election
