// Package quota divides a team's quota among worker shards, so that each
// shard's owner decides locally and the sum of reservations never exceeds the
// quota. It performs no I/O.
package quota
