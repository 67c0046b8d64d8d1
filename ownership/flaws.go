package ownership

// flaws disables single mechanisms of the protocol, so that tests can show that
// a violation is detected. The zero value disables nothing.
type flaws struct {
	// noDrainWait uses a seized shard without waiting for requests of the
	// previous owner.
	noDrainWait bool
	// noHalfShare uses the full share of a seized shard and after a lapse.
	noHalfShare bool
	// expiryFromAnswer counts the session's length from the answer to a renewal
	// instead of from its sending.
	expiryFromAnswer bool
	// noReread trusts shard rows that were read before the session was opened.
	noReread bool
	// noSessionCondition claims without a condition on the version of the
	// lapsed session.
	noSessionCondition bool
	// claimsOutliveProcess claims without a condition on this host's session,
	// and promises before the table was read under it.
	claimsOutliveProcess bool
	// dropVoidUnread drops a void claim before the shard's row was read.
	dropVoidUnread bool
	// ignorePromises claims shards in spite of promises given.
	ignorePromises bool
	// promiseRelisted promises an owner that the list had dropped, without a
	// read of the shard's row since.
	promiseRelisted bool
	// neverPromise gives no promises.
	neverPromise bool
	// noSecondWait seizes a shard whose previous owner is unconfirmed.
	noSecondWait bool
	// noDropWait takes over a shard whose owner has been dropped from the
	// membership list without waiting dropWait.
	noDropWait bool
	// resumePaused resumes the use of shards immediately after a pause.
	resumePaused bool
	// ownBounds uses only this host's own settings.
	ownBounds bool
	// noDrainOnMove releases a shard without draining it.
	noDrainOnMove bool
}
