package burn

// Alert is how urgently a person is wanted.
type Alert string

// The alerts.
const (
	NoAlert Alert = "none"
	Ticket  Alert = "ticket"
	Page    Alert = "page"
)

// Burn rates at which an alert is raised, when both a long window and a
// shorter one exceed them: the long one shows that it matters, the short one
// that it goes on. 14.4 spends 2% of a 30-day budget in an hour, 6 spends 5%
// in six hours, 1 spends 10% in three days.
const (
	fastBurn = 14.4
	slowBurn = 6.0
	lastBurn = 1.0
)

// alertOf judges the windows, which are in the order of Windows.
func alertOf(w []Window) Alert {
	both := func(long, short int, rate float64) bool {
		return w[long].Burn >= rate && w[short].Burn >= rate
	}
	switch {
	case both(1, 0, fastBurn), both(2, 0, slowBurn):
		return Page
	case both(3, 2, lastBurn):
		return Ticket
	default:
		return NoAlert
	}
}
