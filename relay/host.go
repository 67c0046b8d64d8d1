package relay

// Host is an entry host that can relay orders.
type Host struct {
	// Address is where peers connect to the host.
	Address string
	Zone    string
	// Cores is the number of its processors.
	Cores float64
}
