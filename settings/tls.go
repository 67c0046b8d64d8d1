package settings

// TLS names PEM files. They are reloaded when they change.
type TLS struct {
	// Certificate and Key are this host's own.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Authorities signs peers' certificates.
	Authorities string `toml:"authorities"`
}
