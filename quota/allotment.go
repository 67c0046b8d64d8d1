package quota

import "github.com/fireflygate/fireflygate/infra"

// Allotment is what one shard's owner keeps of one team: the part of the
// team's quota that it may reserve. Versions are those of the team's division
// in the table. The zero value holds nothing.
type Allotment struct {
	quota    Amount
	milliCPU VersionedBound
	memoryMB VersionedBound
}

// NewAllotment returns what a new owner holds, by the division as it read it after it
// took over.
func NewAllotment(version uint64, bound Amount) Allotment {
	return Allotment{
		milliCPU: VersionedBound{held: max(bound.MilliCPU, 0), reported: version},
		memoryMB: VersionedBound{held: max(bound.MemoryMB, 0), reported: version},
	}
}

// SetQuota tells which resources are bounded at all.
func (a *Allotment) SetQuota(q Amount) { a.quota = q }

// Held is what may be reserved.
func (a *Allotment) Held() Amount {
	held := Amount{MilliCPU: a.milliCPU.Held(), MemoryMB: a.memoryMB.Held()}
	if a.quota.MilliCPU < 0 {
		held.MilliCPU = Unlimited
	}
	if a.quota.MemoryMB < 0 {
		held.MemoryMB = Unlimited
	}
	return held
}

// Apply takes in the bound of a version of the division. One that is older than
// the last report says nothing: it may give what was given up since, or less
// than what is used by now.
func (a *Allotment) Apply(version uint64, bound Amount) {
	if version < a.milliCPU.reported {
		return
	}
	a.milliCPU.Apply(version, max(bound.MilliCPU, 0))
	a.memoryMB.Apply(version, max(bound.MemoryMB, 0))
}

// Lower gives up what is held above target and not used.
func (a *Allotment) Lower(target Amount, used infra.Resources) {
	if target.MilliCPU >= 0 {
		a.milliCPU.Lower(max(target.MilliCPU, used.MilliCPU))
	}
	if target.MemoryMB >= 0 {
		a.memoryMB.Lower(max(target.MemoryMB, used.MemoryMB))
	}
}

// Report returns what is held, for a division that replaces version. From then
// on version and those before it raise nothing here.
func (a *Allotment) Report(version uint64) Amount {
	a.milliCPU.Report(version + 1)
	a.memoryMB.Report(version + 1)
	return a.Held()
}
