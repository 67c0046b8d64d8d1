package standin

import "github.com/fireflygate/fireflygate/infra"

// Behaviour is the hidden truth about job classes, which the system under
// test can only learn from reports. A class that is not named behaves as
// declared and disturbs nobody.
type Behaviour struct {
	// Slowdown says how much the class of the outer key suffers from each
	// neighbour of the class of the inner key: 0.5 makes it take half as
	// long again on a fully loaded host. It scales with the host's load.
	Slowdown map[string]map[string]float64 `json:"slowdown,omitempty" toml:"slowdown"`
	// Size is the real use of processors and memory by class, as a multiple
	// of the declared.
	Size map[string]float64 `json:"size,omitempty" toml:"size"`
	// Work is the real run time by class, as a multiple of the declared.
	Work map[string]float64 `json:"work,omitempty" toml:"work"`
	// LatencyMS is the tail latency by latency-critical class on an idle
	// host, in milliseconds. Other classes report none.
	LatencyMS map[string]float64 `json:"latency_ms,omitempty" toml:"latency_ms"`
}

// factor returns the factor of a class, 1 if none is given.
func factor(m map[string]float64, class string) float64 {
	if f, ok := m[class]; ok {
		return f
	}
	return 1
}

// use returns what a run of the class really uses.
func (b Behaviour) use(class string, declared infra.Resources) infra.Resources {
	f := factor(b.Size, class)
	return infra.Resources{
		MilliCPU:     int64(float64(declared.MilliCPU) * f),
		MemoryMB:     int64(float64(declared.MemoryMB) * f),
		Accelerators: declared.Accelerators,
	}
}
