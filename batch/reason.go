package batch

// Reasons for refused requests, as returned to callers.
const (
	// ReasonKeyConflict: the idempotency key belongs to another spec.
	ReasonKeyConflict = "key_conflict"
	// ReasonNeverFits: the job exceeds the capacity of every known host.
	// Details follow after a colon.
	ReasonNeverFits = "never_fits"
	// ReasonNoShardReady: no shard in the requested zones has an owner that is
	// ready.
	ReasonNoShardReady = "no_shard_ready"
	// ReasonStoreUnavailable: the table did not answer or commit in time.
	ReasonStoreUnavailable = "store_unavailable"
	// ReasonNotFound: there is no such job.
	ReasonNotFound = "not_found"
	// ReasonAlreadyFinished: the job had finished before it could be cancelled.
	ReasonAlreadyFinished = "already_finished"
	// ReasonAnswerLost: the request may have been carried out, but its answer
	// was lost.
	ReasonAnswerLost = "answer_lost"
	// ReasonInvalidSpec: the spec lacks a team or class, or its run time is
	// negative.
	ReasonInvalidSpec = "invalid_spec"
)
