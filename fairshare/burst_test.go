package fairshare_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/fairshare"
)

// simTask is a running task of a simulated queue.
type simTask struct {
	endsAt int // tick
	cores  int64
}

// simQueue is a queue of a simulated pool.
type simQueue struct {
	share    float64
	cores    int64 // of a task
	ticks    int   // that a task takes
	arrivals func(tick int) int
	waiting  int
	running  []simTask
}

// used returns the cores of the running tasks.
func (q *simQueue) used() int64 {
	var sum int64
	for _, t := range q.running {
		sum += t.cores
	}
	return sum
}

const (
	simTicks       = 300 // of 100 ms
	ticksPerSecond = 10
	// simSettle is how many ticks a queue may be below its share before it is held again:
	// a claim of the whole share of these cases is reclaimed at a tenth of the pool per
	// second.
	simSettle = 4 * ticksPerSecond
)

// simulate runs two queues in a pool of poolCores, of which the second has precedence
// where shares don't decide, and returns the ticks in which the first had waiting tasks
// and less than its share for longer than simSettle, and the most that was reclaimed
// within a second, in cores.
func simulate(steady, burst *simQueue, shares bool) (below int, mostReclaimed int64) {
	queues := []*simQueue{steady, burst}
	var reclaimed [simTicks]int64
	belowFor := 0
	for tick := range simTicks {
		p := &fairshare.Pool{Capacity: poolCores * 1000}
		free := int64(poolCores)
		for i, q := range queues {
			var still []simTask
			for _, t := range q.running {
				if t.endsAt > tick {
					still = append(still, t)
				}
			}
			q.running = still
			q.waiting += q.arrivals(tick)
			free -= q.used()
			share := 0.0
			if shares {
				share = q.share
			}
			p.Queues = append(p.Queues, queue([]string{"a steady", "burst"}[i], share, q.used(), q.used(), int64(q.waiting)*q.cores))
		}
		for {
			i, ok := p.First(func(i int) bool { return queues[i].waiting > 0 && queues[i].cores <= free })
			for n := len(queues) - 1; n >= 0 && !ok; n-- {
				i, ok = n, queues[n].waiting > 0 && queues[n].cores <= free
			}
			if !ok {
				break
			}
			q := queues[i]
			q.running = append(q.running, simTask{tick + q.ticks, q.cores})
			q.waiting--
			free -= q.cores
			p.Started(i, q.cores*1000)
		}
		lastSecond := int64(0)
		for i := max(tick-ticksPerSecond+1, 0); i < tick; i++ {
			lastSecond += reclaimed[i]
		}
		for _, loan := range p.Loans() {
			wanted := min(p.Claim(0), loan.MilliCPU, p.ReclaimLimit(lastSecond*1000)) / 1000
			lender := queues[loan.Queue]
			for wanted >= lender.cores && loan.Queue != 0 && len(lender.running) > 0 {
				lender.running = lender.running[:len(lender.running)-1]
				lender.waiting++
				wanted -= lender.cores
				reclaimed[tick] += lender.cores
			}
		}
		mostReclaimed = max(mostReclaimed, lastSecond+reclaimed[tick])
		belowFor++
		if steady.waiting == 0 || steady.used()+steady.cores > int64(steady.share*poolCores) {
			belowFor = 0
		}
		if belowFor > simSettle {
			below++
		}
	}
	return below, mostReclaimed
}

// TestShareHeldUnderBurst simulates the load for which shares are made: a steady demand
// and a burst in a queue of precedence, together more than the pool. It guards against a
// steady queue that falls below its share for longer than reclaiming takes, and fails
// without shares.
func TestShareHeldUnderBurst(t *testing.T) {
	for _, c := range []struct {
		name                    string
		share                   float64
		steadyCores, burstCores int64
		burstTicks              int
	}{
		{"short tasks in the burst", 0.3, 7, 11, 8},
		{"long tasks in the burst", 0.3, 7, 11, 400},
		{"large tasks of the steady queue", 0.4, 50, 3, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			run := func(shares bool) (int, int64) {
				perTick := int(c.share*poolCores/float64(c.steadyCores))/22 + 1 // a little more than its share
				steady := &simQueue{share: c.share, cores: c.steadyCores, ticks: 22, arrivals: func(int) int { return perTick }}
				burst := &simQueue{cores: c.burstCores, ticks: c.burstTicks, arrivals: func(tick int) int {
					if tick%100 < 60 {
						return int(2.5*poolCores/float64(c.burstCores))/8 + 1
					}
					return 0
				}}
				return simulate(steady, burst, shares)
			}
			with, reclaimed := run(true)
			without, _ := run(false)
			t.Logf("below the share in %d ticks, %d without shares; %d cores reclaimed within a second", with, without, reclaimed)
			if with > 0 {
				t.Errorf("below its share in %d ticks, want none", with)
			}
			if without == 0 {
				t.Error("the share is held without the part, so that the load shows nothing")
			}
			if reclaimed > poolCores/10 {
				t.Errorf("%d cores reclaimed within a second, want at most a tenth of the pool", reclaimed)
			}
		})
	}
}
