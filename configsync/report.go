package configsync

// Report is what a host tells of the versions that it has.
type Report struct {
	// InForce is the version in force, 0 before the first.
	InForce uint64
	// Held is the newest version that the host has with its content. It is in force, or
	// will be once most hosts have it.
	Held uint64
	// Confirmed is set if the version in force is known to be held by most hosts.
	Confirmed bool
	// Hosts is the number of hosts in the host's membership list, itself included, 0 if
	// unknown.
	Hosts int
}
