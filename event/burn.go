package event

import "log/slog"

// Events 750 to 799: service-level burn.
var (
	BurnFlushFailed = define(750, slog.LevelWarn, "burn counts not written, kept for the next flush")
)
