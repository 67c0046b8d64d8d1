package settings

// Event is a named start with work due by then.
type Event struct {
	// Start is its time as RFC 3339, or "15:04" for every day.
	Start string `toml:"start"`
	// Location is the time zone of a daily start, such as "Europe/Rome".
	Location string `toml:"location"`
	// Services must stay responsive around the start.
	Services []string `toml:"services"`
	// Headroom is the share of processors kept free around the start.
	Headroom float64 `toml:"headroom"`
	// Before and After are how long around the start the headroom is kept.
	Before Duration `toml:"before"`
	After  Duration `toml:"after"`
}
