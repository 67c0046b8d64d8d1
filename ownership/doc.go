// Package ownership decides which entry host owns which shard. It is a state
// machine without I/O: package ownerdriver passes it rows, replies and the time,
// and performs the actions that it returns.
package ownership
