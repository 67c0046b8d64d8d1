package event

import "log/slog"

// Events 900 to 949: control of a scheduling domain.
var (
	OwnerSuspected  = define(900, slog.LevelWarn, "owner of the domain is in doubt")
	OwnerFollowed   = define(901, slog.LevelInfo, "following the owner of the domain")
	OwnerUnread     = define(902, slog.LevelWarn, "owner row can't be read")
	OwnershipTaken  = define(903, slog.LevelInfo, "this host owns the domain")
	OwnershipMissed = define(904, slog.LevelInfo, "ownership not taken")
	OwnershipLost   = define(905, slog.LevelWarn, "this host no longer owns the domain")
	LoadFailed      = define(906, slog.LevelWarn, "state of the domain can't be read")
	StateLoaded     = define(907, slog.LevelInfo, "state of the domain read")
	RowUnreadable   = define(908, slog.LevelError, "row can't be decoded, left alone")
	ResignFailed    = define(909, slog.LevelWarn, "ownership not given up cleanly")
	MembersUnread   = define(910, slog.LevelWarn, "membership list can't be read, the one before stays")
	WorkerNotSeen   = routine(911, slog.LevelInfo, "look at worker failed")
	OwnershipTold   = define(913, slog.LevelInfo, "hosts were told of the new owner")
	DomainState     = define(912, slog.LevelInfo, "state of the domain")
	PermitsAnswered = routine(914, slog.LevelInfo, "policy service answered")
	HandOverBegun   = define(916, slog.LevelInfo, "handing the domain over to a stronger host")
	JobReceived     = routine(920, slog.LevelInfo, "job received")
	JobDurable      = routine(921, slog.LevelInfo, "change of job is durable")
	JobCancelled    = routine(922, slog.LevelInfo, "job cancelled")
	StartAnswered   = routine(923, slog.LevelInfo, "start answered")
	StopAnswered    = routine(924, slog.LevelInfo, "stop answered")
	PaceAnswered    = routine(925, slog.LevelInfo, "change of pace answered")
	RunEnded        = routine(926, slog.LevelInfo, "run ended")
	NoOwner         = routine(927, slog.LevelWarn, "request refused, the domain has no owner")
	StoreAway       = routine(929, slog.LevelInfo, "job refused, the store is away")
	OutcomeOpen     = routine(928, slog.LevelWarn, "request given up with its outcome open")
)
