package event

import "log/slog"

// Events 100 to 199: lifecycle of an entry host.
var (
	HostStarted      = define(100, slog.LevelInfo, "entry host started")
	HostReady        = define(101, slog.LevelInfo, "entry host ready")
	DrainStarted     = define(102, slog.LevelInfo, "drain started")
	DrainFinished    = define(103, slog.LevelInfo, "drain finished")
	OperatorPortOpen = define(104, slog.LevelWarn, "operators' port open without credentials on loopback only")
	ServerFailed     = define(105, slog.LevelError, "listening server failed, draining")
	// CallerConnectionsClosed and RequestsAborted are logged once per planned stop.
	CallerConnectionsClosed = define(106, slog.LevelInfo, "caller connections closed")
	RequestsAborted         = define(107, slog.LevelError, "planned stop aborted requests")
	StoreUnresponsive       = define(110, slog.LevelWarn, "table service stopped responding")
	StoreRecovered          = define(111, slog.LevelInfo, "table service responds again")
	MembersStale            = define(112, slog.LevelWarn, "membership list is stale")
	ProcessPaused           = define(113, slog.LevelWarn, "process was paused")
	// CallersLimited is logged at most once a second.
	CallersLimited    = define(114, slog.LevelWarn, "callers refused or disconnected because of a limit")
	InvariantViolated = define(199, slog.LevelError, "invariant violated, stopping the process")
)
