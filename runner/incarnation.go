package runner

import "log/slog"

// Incarnation identifies one life of a worker among those under its ID: the start of its
// process in Unix milliseconds, by its own time of day. A worker that starts again may keep
// its ID; it then knows nothing of before, and its clock and the numbers of its ends begin
// anew. Incarnations are compared for equality only, since the time of day may jump. The
// zero Incarnation is that of a worker that doesn't tell it.
type Incarnation int64

// Differs reports whether two incarnations are known to be different lives.
func (i Incarnation) Differs(other Incarnation) bool { return i != 0 && other != 0 && i != other }

// LogValue implements slog.LogValuer.
func (i Incarnation) LogValue() slog.Value { return slog.Int64Value(int64(i)) }
