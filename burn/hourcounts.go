package burn

// HourCounts holds one entry host's counts for one objective in one hour. It
// is stored in the platform's table, so that reports include hosts that have
// stopped.
type HourCounts struct {
	Objective string `msgpack:"o"`
	Host      string `msgpack:"h"`
	// Hour is the number of hours since the Unix epoch.
	Hour int64 `msgpack:"n"`
	// Good and Total count calls by minute of the hour.
	Good  [minutesPerHour]int64 `msgpack:"g"`
	Total [minutesPerHour]int64 `msgpack:"t"`
	// FirstUnixMS and LastUnixMS limit the time that the counts cover.
	FirstUnixMS int64 `msgpack:"f"`
	LastUnixMS  int64 `msgpack:"l"`
	// Closed is set when the counts are final: the host stopped in an orderly
	// way or the hour has ended.
	Closed bool `msgpack:"c"`
}

const (
	minutesPerHour = 60
	msPerMinute    = 60_000
	msPerHour      = minutesPerHour * msPerMinute
)

// HourOf returns the hour of a time in Unix milliseconds.
func HourOf(unixMS int64) int64 { return unixMS / msPerHour }

// minuteOf returns the minute of the hour of a time in Unix milliseconds.
func minuteOf(unixMS int64) int64 { return unixMS % msPerHour / msPerMinute }
