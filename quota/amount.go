package quota

import "github.com/fireflygate/fireflygate/infra"

// Unlimited is the amount of a resource that has no quota.
const Unlimited = -1

// Amount is a limit on a team's reservations. A negative field means unlimited;
// zero allows nothing.
type Amount struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `msgpack:"c"`
	// MemoryMB is in megabytes.
	MemoryMB int64 `msgpack:"m"`
}

// NewAmount returns the Amount of a quota in the settings, where zero means
// unlimited.
func NewAmount(milliCPU, memoryMB int64) Amount {
	a := Amount{MilliCPU: milliCPU, MemoryMB: memoryMB}
	if milliCPU <= 0 {
		a.MilliCPU = Unlimited
	}
	if memoryMB <= 0 {
		a.MemoryMB = Unlimited
	}
	return a
}

// Bounded reports whether any resource is limited.
func (a Amount) Bounded() bool { return a.MilliCPU >= 0 || a.MemoryMB >= 0 }

// Allows reports whether used plus more is within the amount.
func (a Amount) Allows(used, more infra.Resources) bool {
	if a.MilliCPU >= 0 && used.MilliCPU+more.MilliCPU > a.MilliCPU {
		return false
	}
	return a.MemoryMB < 0 || used.MemoryMB+more.MemoryMB <= a.MemoryMB
}
