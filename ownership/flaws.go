package ownership

// flaws switches single mechanisms off, so that tests show that the checks
// notice. The zero value is the protocol as it should be.
type flaws struct {
	// noDrainWait starts a seized shard at once.
	noDrainWait bool
	// noHalfShare uses the full share of a seized shard and after a lapse.
	noHalfShare bool
	// expiryFromAnswer counts the session from the answer to a renewal.
	expiryFromAnswer bool
	// noReread trusts shard rows read before the session was opened.
	noReread bool
	// noSessionCondition claims without the lapsed session's version.
	noSessionCondition bool
	// ignorePromises claims without regard to promises given.
	ignorePromises bool
	// neverPromise gives no promises, for the measurement of their worth.
	neverPromise bool
	// noSecondWait seizes a shard whose previous owner is unconfirmed.
	noSecondWait bool
	// noDropWait does not allow for hosts that read the list later.
	noDropWait bool
	// resumePaused uses shards at once after a pause.
	resumePaused bool
	// ownBounds goes by this host's own settings alone.
	ownBounds bool
	// noDrainOnMove releases a shard without waiting for what is in flight.
	noDrainOnMove bool
}
