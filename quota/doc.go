// Package quota divides a team's quota among the shards of workers, so that
// each owner decides alone and the sum never exceeds the quota. It is pure.
package quota
