package configsync

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// readsOf simulates a host's reads for a while. It calls end with each read; end
// returns when the read ends and how: with an answer, refused or, if neither, at its
// limit. It returns the number of reads and the largest number in progress.
func readsOf(duration time.Duration, end func(now time.Time, r Read) (at time.Time, answered, refused bool)) (reads, most int) {
	type ending struct {
		at                time.Time
		read              Read
		answered, refused bool
	}
	var s ReadSchedule
	var inProgress []ending
	var lastData time.Time
	now := time.Unix(0, 0)
	for last := now.Add(duration); now.Before(last); {
		slices.SortFunc(inProgress, func(a, b ending) int { return a.at.Compare(b.at) })
		next := s.Next(lastData)
		if len(inProgress) == 0 || next.Before(inProgress[0].at) {
			if next.After(now) {
				now = next
			}
			r := s.Begin(now, 0)
			e := ending{read: r}
			if e.at, e.answered, e.refused = end(now, r); !e.answered && !e.refused {
				e.at = now.Add(r.Limit)
			}
			inProgress = append(inProgress, e)
			reads, most = reads+1, max(most, len(inProgress))
			continue
		}
		e := inProgress[0]
		inProgress = inProgress[1:]
		now = e.at
		switch {
		case e.answered:
			lastData = now
			s.Answered(now, e.read)
		case e.refused:
			lastData = now
			s.Refused(now)
		default:
			s.TimedOut()
		}
	}
	return reads, most
}

// TestSilentStoreGetsFewReads checks that a store that answers nothing gets no more
// reads than one that answers, and has no more than MaxReads in progress.
func TestSilentStoreGetsFewReads(t *testing.T) {
	const duration = 10 * time.Minute
	reads, most := readsOf(duration, func(time.Time, Read) (time.Time, bool, bool) { return time.Time{}, false, false })
	if limit := int(duration/ReadInterval) + 1; reads > limit || most > MaxReads {
		t.Errorf("%d reads, %d at a time; want at most %d and %d", reads, most, limit, MaxReads)
	}
}

// TestSlowAndLossyStoreGetsFewReads checks that no more than MaxReads are in progress
// whatever the share of lost answers and the time that the others take.
func TestSlowAndLossyStoreGetsFewReads(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		share := random.Float64()
		slowest := random.Int64N(int64(8 * time.Second))
		_, most := readsOf(time.Minute, func(now time.Time, r Read) (time.Time, bool, bool) {
			takes := 5*time.Millisecond + time.Duration(random.Int64N(slowest+1))
			return now.Add(takes), random.Float64() >= share && takes < r.Limit, false
		})
		if most > MaxReads {
			t.Errorf("seed %d: %d reads at a time, want at most %d", seed, most, MaxReads)
		}
	}
}

// TestRefusingStoreGetsRetriesOnly checks that a store that refuses each read at once
// gets one for each RetryDelay.
func TestRefusingStoreGetsRetriesOnly(t *testing.T) {
	const takes = 5 * time.Millisecond
	const duration = time.Minute
	reads, most := readsOf(duration, func(now time.Time, _ Read) (time.Time, bool, bool) { return now.Add(takes), false, true })
	if limit := int(duration/(RetryDelay+takes)) + 2; reads > limit || most > 1 {
		t.Errorf("%d reads, %d at a time; want at most %d and 1", reads, most, limit)
	}
}

// TestNextReadFollowsAnswer checks when a read begins after the answer to the newest
// read, after the answer to an older one, and while data arrives.
func TestNextReadFollowsAnswer(t *testing.T) {
	start := time.Unix(0, 0)
	var s ReadSchedule
	older := s.Begin(start, 0)
	newest := s.Begin(start.Add(ReadInterval), 0)
	data := start.Add(900 * time.Millisecond)
	if next := s.Next(data); !next.Equal(data.Add(ReadInterval)) {
		t.Errorf("next read at %v while data arrives, want %v", next.Sub(start), data.Add(ReadInterval).Sub(start))
	}
	s.Answered(data, older)
	if next := s.Next(data); !next.Equal(data.Add(2 * ReadInterval)) {
		t.Errorf("next read %v after the answer to an older one, want %v", next.Sub(data), 2*ReadInterval)
	}
	s.Answered(data, newest)
	if next := s.Next(data); !next.Equal(data) {
		t.Errorf("next read %v after the answer to the newest, want at once", next.Sub(data))
	}
}
