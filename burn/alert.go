package burn

// Alert is the urgency of an alert.
type Alert string

// Alert levels.
const (
	NoAlert Alert = "none"
	Ticket  Alert = "ticket"
	Page    Alert = "page"
)

// Rule raises an alert when both a long and a short window burn at
// the rate Burn or faster. The long window shows that the burn is significant, the short one that
// it continues.
type Rule struct {
	Alert Alert
	// Long and Short are indexes into Windows.
	Long, Short int
	Burn        float64
}

// Rules lists the rules, most urgent first. A burn rate of 14.4 spends 2% of a
// 30-day budget in an hour, 6 spends 5% in six hours and 1 spends 10% in three
// days.
var Rules = []Rule{
	{Alert: Page, Long: 1, Short: 0, Burn: 14.4},
	{Alert: Page, Long: 2, Short: 1, Burn: 6},
	{Alert: Ticket, Long: 3, Short: 2, Burn: 1},
}

// alertOf returns the most urgent alert that the windows raise. They must be
// in the order of Windows.
func alertOf(w []Window) Alert {
	for _, r := range Rules {
		if w[r.Long].Burn >= r.Burn && w[r.Short].Burn >= r.Burn {
			return r.Alert
		}
	}
	return NoAlert
}
