package event

import "log/slog"

// Events 100 to 199: life of an entry host.
var (
	HostStarted      = define(100, slog.LevelInfo, "entry host started")
	HostReady        = define(101, slog.LevelInfo, "entry host ready")
	DrainStarted     = define(102, slog.LevelInfo, "drain started")
	DrainFinished    = define(103, slog.LevelInfo, "drain finished")
	OperatorPortOpen = define(104, slog.LevelWarn, "operators' port open without a credential, loopback only")
	ServerFailed     = define(105, slog.LevelError, "a listening server failed, draining")
	// CallerConnectionsClosed and RequestsAborted come once in a planned stop.
	CallerConnectionsClosed = define(106, slog.LevelInfo, "callers' connections ended")
	RequestsAborted         = define(107, slog.LevelError, "planned stop cut requests off")
	StoreUnresponsive       = define(110, slog.LevelWarn, "table service stopped answering")
	StoreRecovered          = define(111, slog.LevelInfo, "table service answers again")
	MembersStale            = define(112, slog.LevelWarn, "membership list is stale")
	ProcessPaused           = define(113, slog.LevelWarn, "this process stood still")
	InvariantViolated       = define(199, slog.LevelError, "invariant broken, process stops")
)
