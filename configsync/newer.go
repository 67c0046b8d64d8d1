package configsync

// Newer reports whether a version may replace the one in force, which is known false
// before the first. Versions only increase.
func Newer(version, inForce uint64, known bool) bool { return !known || version > inForce }
