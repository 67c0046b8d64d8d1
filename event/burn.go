package event

import "log/slog"

// Events 750 to 799: error budget burn.
var (
	BurnFlushFailed = define(750, slog.LevelWarn, "burn counts not written, retained for the next flush")
)
