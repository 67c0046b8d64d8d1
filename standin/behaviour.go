package standin

import "github.com/fireflygate/fireflygate/infra"

// Behaviour defines how job classes actually behave. The system under test sees
// only its effects in reports. An unlisted class uses the declared resources and
// causes no interference.
type Behaviour struct {
	// Slowdown is how much a run of the class of the outer key is slowed by each
	// colocated run of the class of the inner key: 0.5 adds 50 % to its run time
	// on a fully loaded host. It scales with the host's CPU utilization.
	Slowdown map[string]map[string]float64 `json:"slowdown,omitempty" toml:"slowdown"`
	// Size is the actual use of processors and memory by class, as a multiple of
	// the declared resources.
	Size map[string]float64 `json:"size,omitempty" toml:"size"`
	// Work is the actual run time by class, as a multiple of the declared one.
	Work map[string]float64 `json:"work,omitempty" toml:"work"`
	// LatencyMS is the tail latency of each latency-critical class on an idle
	// host, in milliseconds. Other classes report no latency.
	LatencyMS map[string]float64 `json:"latency_ms,omitempty" toml:"latency_ms"`
}

// factor returns the factor of a class; 1 if it is not listed.
func factor(m map[string]float64, class string) float64 {
	if f, ok := m[class]; ok {
		return f
	}
	return 1
}

// use returns the actual resource use of a run of the class at full speed.
func (b Behaviour) use(class string, declared infra.Resources) infra.Resources {
	f := factor(b.Size, class)
	return infra.Resources{
		MilliCPU:     int64(float64(declared.MilliCPU) * f),
		MemoryMB:     int64(float64(declared.MemoryMB) * f),
		Accelerators: declared.Accelerators,
	}
}
