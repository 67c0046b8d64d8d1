package batch

// Reasons of refusals, as callers see them.
const (
	// ReasonKeyConflict: the idempotency key belongs to another spec.
	ReasonKeyConflict = "key_conflict"
	// ReasonNeverFits: no known host can ever hold the job; details follow
	// after a colon.
	ReasonNeverFits = "never_fits"
	// ReasonNoShard: no shard of the zones asked for has an owner that is
	// ready.
	ReasonNoShard = "no_shard_ready"
	// ReasonStore: the table did not take the commit in time.
	ReasonStore = "store_unavailable"
	// ReasonNotFound: there is no such job.
	ReasonNotFound = "not_found"
	// ReasonFinished: the job had finished before it could be cancelled.
	ReasonFinished = "already_finished"
	// ReasonLost: the answer to the request was lost.
	ReasonLost = "answer_lost"
	// ReasonInvalid: the spec lacks what every job needs.
	ReasonInvalid = "invalid_spec"
)
