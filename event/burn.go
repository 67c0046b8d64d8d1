package event

import "log/slog"

// Events 750 to 799: service-level burn.
var (
	BurnNotKept = define(750, slog.LevelWarn, "burn counts not written, kept for the next flush")
)
