// Package flow bounds what an owner has under way with its workers by what it
// measures. It is pure.
//
// The load it answers is more orders and reports than the owner's processor or
// link can carry at the moment. With fixed limits, all that is begun beyond that
// is late, what is late counts as lost, and what is lost makes more work. So
// time limits follow the round trips (Timeout), starts under way are bounded by
// their delay (Limit), and reports are asked for less often (Gap).
package flow
