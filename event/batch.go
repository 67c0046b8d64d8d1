package event

import "log/slog"

// Events 500 to 599: worker shards.
var (
	ShardReplaying      = define(500, slog.LevelInfo, "worker shard: replay started")
	ShardReplayed       = define(501, slog.LevelInfo, "worker shard: replay finished")
	ShardReplayFailed   = define(502, slog.LevelWarn, "worker shard: replay failed, trying again")
	ShardDropped        = define(503, slog.LevelInfo, "worker shard: dropped")
	ShardFenced         = define(504, slog.LevelWarn, "worker shard: commit refused, another host owns it")
	WorkerShardReleased = define(505, slog.LevelInfo, "worker shard: released for hand-over")
	WorkerReconciled    = define(510, slog.LevelInfo, "worker reconciled")
	WorkerSuspected     = define(511, slog.LevelWarn, "worker does not answer")
	WorkerLeaseExpired  = define(512, slog.LevelWarn, "worker's runs are over, lease lapsed")
	WorkerRefused       = define(513, slog.LevelWarn, "worker refused exchange, a newer owner exists")
	WorkerQuarantined   = define(514, slog.LevelWarn, "worker quarantined, distinct jobs failed in a row")
	WorkerProbed        = define(515, slog.LevelInfo, "quarantined worker takes one job as a probe")
	QuarantineEnded     = define(516, slog.LevelInfo, "worker out of quarantine")
	UnknownRun          = define(520, slog.LevelWarn, "run without a matching record, stopping it")
	JobParked           = define(521, slog.LevelWarn, "job parked")
	RecordUnreadable    = define(522, slog.LevelError, "job record cannot be decoded, left alone")
	JobOwnedElsewhere   = define(524, slog.LevelWarn, "job's row was changed by another shard, forgotten here")
	JobMoved            = define(525, slog.LevelInfo, "pending job moved to another shard")
	QuotaApplied        = routine(526, slog.LevelInfo, "quota of a team in force at a worker shard")
	TransitionRejected  = define(523, slog.LevelError, "transition not legal in this state, ignored")
)
