package check

import "fmt"

// checkAtMostOnce finds booking keys that were processed more than once.
func checkAtMostOnce(records []Record, _ Limits) []Violation {
	var found []Violation
	first := map[string]Record{}
	for _, r := range records {
		if r.RequestBegan == nil || r.RequestBegan.BookingKey == "" {
			continue
		}
		key := r.RequestBegan.BookingKey
		if before, ok := first[key]; ok {
			found = append(found, violation(AtMostOnce, fmt.Sprintf("booking %s ran more than once", key), before, r))
			continue
		}
		first[key] = r
	}
	return found
}
