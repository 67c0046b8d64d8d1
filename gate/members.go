package gate

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
)

// membersStaleAfter is the age of the last successful read at which failing
// reads are logged.
const membersStaleAfter = 10 * time.Second

// memberPoller reads the membership list at a fixed interval.
type memberPoller struct {
	members  infra.Members
	interval time.Duration
	timeout  time.Duration
	log      *slog.Logger
	now      func() time.Time
	// onList is called with each list read, from the poller's goroutine.
	onList func(infra.MemberList)
}

// run polls until ctx ends. It logs once when reads have failed for longer than
// membersStaleAfter.
func (p *memberPoller) run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	lastRead, stale := p.now(), false
	for {
		list, err := p.poll(ctx)
		switch {
		case err == nil:
			lastRead, stale = p.now(), false
			p.onList(list)
		case !stale && p.now().Sub(lastRead) > membersStaleAfter:
			stale = true
			event.MembersStale.Log(p.log, slog.Any("error", err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *memberPoller) poll(ctx context.Context) (infra.MemberList, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	return p.members.List(ctx)
}
