package event

import "log/slog"

// Events 500 to 599: worker shards.
var (
	ShardReplaying      = define(500, slog.LevelInfo, "worker shard: replay started")
	ShardReplayed       = define(501, slog.LevelInfo, "worker shard: replay finished")
	ShardReplayFailed   = define(502, slog.LevelWarn, "worker shard: replay failed, retrying")
	ShardDropped        = define(503, slog.LevelInfo, "worker shard: dropped")
	ShardFenced         = define(504, slog.LevelWarn, "worker shard: commit rejected, another host owns the shard")
	WorkerShardReleased = define(505, slog.LevelInfo, "worker shard: released for handover")
	WorkerReconciled    = define(510, slog.LevelInfo, "worker state reconciled")
	WorkerSuspected     = define(511, slog.LevelWarn, "worker suspected, it does not respond")
	WorkerLeaseExpired  = define(512, slog.LevelWarn, "worker lease expired, its runs have ended")
	WorkerRefused       = define(513, slog.LevelWarn, "worker rejected exchange, it knows a higher epoch")
	WorkerQuarantined   = define(514, slog.LevelWarn, "worker quarantined, distinct jobs failed in succession")
	WorkerProbed        = define(515, slog.LevelInfo, "quarantined worker given one job as a probe")
	QuarantineEnded     = define(516, slog.LevelInfo, "worker quarantine ended")
	UnknownRun          = define(520, slog.LevelWarn, "run has no matching record, stopping it")
	JobParked           = define(521, slog.LevelWarn, "job parked")
	RecordUnreadable    = define(522, slog.LevelError, "job record cannot be decoded, skipped")
	JobOwnedElsewhere   = define(524, slog.LevelWarn, "job row changed by another shard, job dropped here")
	JobMoved            = define(525, slog.LevelInfo, "pending job moved to another shard")
	QuotaApplied        = routine(526, slog.LevelInfo, "team quota applied at a worker shard")
	TransitionRejected  = define(523, slog.LevelError, "state transition not allowed, ignored")
)
