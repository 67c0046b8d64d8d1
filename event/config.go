package event

import "log/slog"

// Events 700 to 749: configuration.
var (
	ConfigApplied      = define(700, slog.LevelInfo, "configuration applied")
	ConfigUnreadable   = define(701, slog.LevelError, "configuration cannot be read, keeping the previous one")
	ConfigAccepted     = define(702, slog.LevelInfo, "configuration accepted")
	ConfigConflict     = define(703, slog.LevelInfo, "configuration change rejected, another version was accepted first")
	ConfigAwaitsHosts  = define(704, slog.LevelWarn, "configuration accepted, waiting until most hosts hold it")
	ClosedZonesChanged = define(705, slog.LevelInfo, "closed availability zones changed")
)
