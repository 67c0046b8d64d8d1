package event

import "log/slog"

// Events 800 to 899: the stand-ins.
var (
	StandinStarted = define(800, slog.LevelInfo, "stand-ins started")
	StandinStopped = define(801, slog.LevelInfo, "stand-ins stopped")
)
