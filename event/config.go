package event

import "log/slog"

// Events 700 to 749: configuration.
var (
	ConfigApplied    = define(700, slog.LevelInfo, "configuration in force")
	ConfigUnreadable = define(701, slog.LevelError, "configuration can't be read, the one before stays in force")
	ConfigAccepted   = define(702, slog.LevelInfo, "configuration accepted")
	ConfigConflict   = define(703, slog.LevelInfo, "configuration change lost a race")
)
