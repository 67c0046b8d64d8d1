package batch

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// TestExchangeAfterPauseIsNotSent checks that an exchange is not sent if the
// process was paused after the check of the grant.
func TestExchangeAfterPauseIsNotSent(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.started(time.Hour)
		for pause, want := range map[time.Duration]int{0: 1, exchangeTimeout: 0} {
			sent := 0
			r.workers.mu.Lock()
			r.workers.hook = func(_ string, x infra.Exchange) {
				if x.LeaseMS == 1 {
					sent++
				}
			}
			r.workers.mu.Unlock()
			n.post(func(now time.Time) {
				o := n.shards[shard]
				n.exchange(now.Add(-pause), o, message{worker: "w0", address: o.workers["w0"].member.Address, exchange: infra.Exchange{OwnerEpoch: o.epoch, LeaseMS: 1}})
			})
			r.advanceTime(100 * time.Millisecond)
			if sent != want {
				t.Errorf("after a pause of %v: %d exchanges sent, want %d", pause, sent, want)
			}
		}
	})
}
