package infra

// Resources is an amount of each resource of a host.
type Resources struct {
	// MilliCPU is CPU in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu" msgpack:"c"`
	// MemoryMB is memory in megabytes.
	MemoryMB int64 `json:"memory_mb" msgpack:"m"`
	// Accelerators is the number of accelerators.
	Accelerators int64 `json:"accelerators" msgpack:"a"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o; the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is no larger than free in every resource.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}
