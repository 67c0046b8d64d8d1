package quota

import "github.com/fireflygate/fireflygate/infra"

// Allotment is the part of one team's quota that one shard may reserve, as
// kept by the shard's owner. Versions are those of the team's division in the
// table. The zero value allows nothing.
type Allotment struct {
	quota    Amount
	milliCPU VersionedBound
	memoryMB VersionedBound
}

// NewAllotment returns the allotment of a new owner, given the version of the
// division and the shard's bound that it read after it took over.
func NewAllotment(version uint64, bound Amount) Allotment {
	return Allotment{
		milliCPU: VersionedBound{held: max(bound.MilliCPU, 0), reported: version},
		memoryMB: VersionedBound{held: max(bound.MemoryMB, 0), reported: version},
	}
}

// SetQuota sets the team's quota, which determines the resources that are
// limited at all.
func (a *Allotment) SetQuota(q Amount) { a.quota = q }

// Held returns the amount that the team may reserve in the shard.
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

// Apply sets the bound given by a version of the division. A version older than
// the last report is ignored: its bound may include an amount given up since,
// or be less than the amount now in use.
func (a *Allotment) Apply(version uint64, bound Amount) {
	if version < a.milliCPU.reported {
		return
	}
	a.milliCPU.Apply(version, max(bound.MilliCPU, 0))
	a.memoryMB.Apply(version, max(bound.MemoryMB, 0))
}

// Lower gives up the amount held above target, as far as it is unused.
func (a *Allotment) Lower(target Amount, used infra.Resources) {
	if target.MilliCPU >= 0 {
		a.milliCPU.Lower(max(target.MilliCPU, used.MilliCPU))
	}
	if target.MemoryMB >= 0 {
		a.memoryMB.Lower(max(target.MemoryMB, used.MemoryMB))
	}
}

// Report returns the amount held, for a division that replaces version. From
// then on, version and earlier versions can't raise the allotment.
func (a *Allotment) Report(version uint64) Amount {
	a.milliCPU.Report(version + 1)
	a.memoryMB.Report(version + 1)
	return a.Held()
}
