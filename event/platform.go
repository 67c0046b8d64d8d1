package event

import "log/slog"

// Events 950 to 999: the users' platform.
var (
	StoreCallFailed      = define(950, slog.LevelWarn, "call to the store failed")
	MemberEntryMalformed = define(951, slog.LevelError, "membership entry is unsound, it names no worker")
	ConfigReadFailed     = define(952, slog.LevelWarn, "configuration can't be read from the store, trying again")
	RequestInvalid       = routine(953, slog.LevelInfo, "request can't be read")
	RequestFailed        = routine(954, slog.LevelInfo, "request not served")
	SettingsReload       = define(955, slog.LevelInfo, "settings are read again on a signal")
	SettingsReadFailed   = define(956, slog.LevelError, "settings can't be read, those before stay")
	SettingsChanged      = define(957, slog.LevelInfo, "changed settings in force")
	ReadinessChanged     = define(958, slog.LevelInfo, "readiness changed")
	LogLinesDropped      = define(959, slog.LevelWarn, "log lines dropped")
)
