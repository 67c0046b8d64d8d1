// Package ownership decides which entry host owns which shard. It is pure:
// package tenure feeds it rows, answers and the time, and carries out the
// actions that it returns.
package ownership
