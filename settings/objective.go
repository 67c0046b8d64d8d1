package settings

// Objective is a service-level objective.
type Objective struct {
	// Service is the name of the interactive service.
	Service string `toml:"service"`
	// Latency is the time within which a call must be answered to be good.
	Latency Duration `toml:"latency"`
	// Target is the share of calls that must be good, such as 0.99.
	Target float64 `toml:"target"`
	// Period is the time that the error budget covers, such as "720h".
	Period Duration `toml:"period"`
}
