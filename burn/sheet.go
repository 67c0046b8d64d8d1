package burn

// Sheet is one entry host's counts for one objective in one hour. It is what
// a host keeps in the platform's table, so that a report outlives the host.
type HourCounts struct {
	Objective string `msgpack:"o"`
	Host      string `msgpack:"h"`
	// Hour is the number of the hour since the Unix epoch.
	Hour int64 `msgpack:"n"`
	// Good and Total count calls by minute of the hour.
	Good  [minutesPerHour]int64 `msgpack:"g"`
	Total [minutesPerHour]int64 `msgpack:"t"`
	// FirstUnixMS and LastUnixMS bound the time that the sheet speaks of.
	FirstUnixMS int64 `msgpack:"f"`
	LastUnixMS  int64 `msgpack:"l"`
	// Closed is set by a host that stopped as planned or began the next
	// hour: nothing of the hour is missing.
	Closed bool `msgpack:"c"`
}

const (
	minutesPerHour = 60
	msPerMinute    = 60_000
	msPerHour      = minutesPerHour * msPerMinute
)

// HourOf returns the hour that a time in Unix milliseconds falls in.
func HourOf(unixMS int64) int64 { return unixMS / msPerHour }

// minuteOf returns the minute of its hour that a time falls in.
func minuteOf(unixMS int64) int64 { return unixMS % msPerHour / msPerMinute }
