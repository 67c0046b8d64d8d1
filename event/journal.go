package event

import "log/slog"

// Events 600 to 649: group commit.
var (
	JournalStalled         = define(600, slog.LevelWarn, "journal: table does not accept commits, backing off")
	JournalResumed         = define(601, slog.LevelInfo, "journal: table accepts commits again")
	JournalResolved        = define(602, slog.LevelInfo, "journal: outcome of a commit without an answer determined by reading back")
	JournalOverflow        = define(603, slog.LevelWarn, "journal: queue full, entry not applied")
	JournalInvalidConflict = define(604, slog.LevelError, "journal: conflict names no row of the commit")
	JournalRejected        = define(605, slog.LevelError, "journal: entry rejected by the table for good, not applied")
)
