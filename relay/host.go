package relay

// Host is an entry host that may carry orders.
type Host struct {
	// Address is where peers reach it.
	Address string
	Zone    string
	// Cores are its processors.
	Cores float64
}
