package event

import "log/slog"

// Events 200 to 299: ownership of shards.
var (
	SessionOpened   = define(200, slog.LevelInfo, "session opened")
	SessionReplaced = define(201, slog.LevelError, "session taken over by a later process of this host")
	ShardOwned      = define(210, slog.LevelInfo, "shard owned")
	ShardTakenOver  = define(211, slog.LevelWarn, "shard taken over from an owner whose lease expired")
	ShardConfirmed  = define(212, slog.LevelInfo, "previous shard owner confirmed that it stopped")
	ShardLost       = define(213, slog.LevelWarn, "shard lost, draining")
	ShardMoving     = define(214, slog.LevelInfo, "shard handover in progress")
	ShardReleased   = define(215, slog.LevelInfo, "shard released")
	DrainFailed     = define(216, slog.LevelWarn, "shard drain failed")
)
