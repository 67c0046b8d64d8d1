package settings

// Platform configures the access to the platform's services.
type Platform struct {
	// Table, Objects and Members are base URLs with an IP address.
	Table   string `toml:"table"`
	Objects string `toml:"objects"`
	Members string `toml:"members"`
	// Timeout bounds one request to the platform.
	Timeout Duration `toml:"timeout"`
	// MembersInterval is how often the membership list is read.
	MembersInterval Duration `toml:"members_interval"`
	// ConfigInterval is how often the configuration's row is read.
	ConfigInterval Duration `toml:"config_interval"`
}
