package integration

import "testing"

// TestSitesHaveTheirOwnNumbers checks that stand-ins of two sites never share
// an IP number. Ports of ended or killed stand-ins are free for anybody: when
// all were on one number, the exchanges for a killed worker of one site came
// to an endpoint of another and took a slot there.
func TestSitesHaveTheirOwnNumbers(t *testing.T) {
	var taken []block
	defer func() {
		for _, b := range taken {
			b.guard.Close()
		}
	}()
	seen := map[string]bool{}
	for range 3 {
		b, err := takeBlock()
		if err != nil {
			t.Fatal(err)
		}
		taken = append(taken, b)
		if seen[b.standIns()] {
			t.Fatalf("two sites have their stand-ins on %s", b.standIns())
		}
		seen[b.standIns()] = true
	}
}
