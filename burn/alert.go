package burn

// Alert is how urgently a person is wanted.
type Alert string

// The alerts.
const (
	NoAlert Alert = "none"
	Ticket  Alert = "ticket"
	Page    Alert = "page"
)

// Rule raises an alert when a long window and a shorter one both burn at a
// rate: the long one shows that it matters, the short one that it goes on.
type Rule struct {
	Alert Alert
	// Long and Short are indexes into Windows.
	Long, Short int
	Burn        float64
}

// Rules are the rules in order of urgency. 14.4 spends 2% of a 30-day budget
// in an hour, 6 spends 5% in six hours, 1 spends 10% in three days.
var Rules = []Rule{
	{Alert: Page, Long: 1, Short: 0, Burn: 14.4},
	{Alert: Page, Long: 2, Short: 1, Burn: 6},
	{Alert: Ticket, Long: 3, Short: 2, Burn: 1},
}

// alertOf judges the windows, which are in the order of Windows.
func alertOf(w []Window) Alert {
	for _, r := range Rules {
		if w[r.Long].Burn >= r.Burn && w[r.Short].Burn >= r.Burn {
			return r.Alert
		}
	}
	return NoAlert
}
