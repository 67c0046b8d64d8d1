package integration

import "testing"

// TestSitesHaveDistinctStandInAddresses checks that no two sites share the IP
// address of their stand-ins: otherwise requests for a killed worker of one site
// could reach an endpoint of another that reuses its port.
func TestSitesHaveDistinctStandInAddresses(t *testing.T) {
	var taken []addressBlock
	defer func() {
		for _, b := range taken {
			b.lock.Close()
		}
	}()
	seen := map[string]bool{}
	for range 3 {
		b, err := reserveBlock()
		if err != nil {
			t.Fatal(err)
		}
		taken = append(taken, b)
		if seen[b.standInIP()] {
			t.Fatalf("two sites use %s for their stand-ins, want distinct addresses", b.standInIP())
		}
		seen[b.standInIP()] = true
	}
}
