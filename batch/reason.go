package batch

// Reasons of refusals, as callers see them.
const (
	// ReasonKeyConflict: the idempotency key belongs to another spec.
	ReasonKeyConflict = "key_conflict"
	// ReasonNeverFits: no known host can ever hold the job; details follow
	// after a colon.
	ReasonNeverFits = "never_fits"
	// ReasonNoShardReady: no shard of the zones asked for has an owner that is
	// ready.
	ReasonNoShardReady = "no_shard_ready"
	// ReasonStoreUnavailable: the table did not take the commit in time.
	ReasonStoreUnavailable = "store_unavailable"
	// ReasonNotFound: there is no such job.
	ReasonNotFound = "not_found"
	// ReasonAlreadyFinished: the job had finished before it could be cancelled.
	ReasonAlreadyFinished = "already_finished"
	// ReasonAnswerLost: the answer to the request was lost.
	ReasonAnswerLost = "answer_lost"
	// ReasonInvalidSpec: the spec lacks what every job needs.
	ReasonInvalidSpec = "invalid_spec"
)
