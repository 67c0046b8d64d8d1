package configsync

import (
	"math/bits"
	"time"
)

const (
	// ReadInterval is the time without data from the store after which another read
	// begins beside those in progress. It equals the interval of reads of a store that
	// answers, so that one that is silent gets no more of them.
	ReadInterval = 500 * time.Millisecond
	// RetryDelay is the delay after a read that the store refused.
	RetryDelay = 200 * time.Millisecond
	// MaxReadTime bounds a read.
	MaxReadTime = 10 * time.Second
	// MaxReads is the largest number of reads in progress at a time.
	MaxReads = 8
)

// minReadTime is the shortest limit of a read. Two such reads are in progress at a
// time at most.
const minReadTime = 2 * ReadInterval

// Read describes a read of the configuration that begins.
type Read struct {
	// Number increases by one with each read.
	Number uint64
	// Wait is how long the store may wait for a change, 0 if it should answer at
	// once.
	Wait time.Duration
	// Limit is how long the read may take.
	Limit time.Duration
	// Overlaps is set if reads that began earlier have no answer yet.
	Overlaps bool
}

// ReadSchedule decides when a host begins its next read of the configuration and how
// long that read may take. Reads overlap while no data arrives, so that one whose
// answer is lost doesn't delay the others. Most of them are given up soon and few are
// kept for long: a store that takes seconds for each answer is read as well, and few
// reads are in progress at a time. The zero value begins a read at once.
type ReadSchedule struct {
	next time.Time
	// postponable is set if data that arrives postpones the next read.
	postponable bool
	// newest is the number of the read that began last.
	newest uint64
	// unanswered is the number of reads that began since one was answered, and
	// inProgress the number of those that haven't ended.
	unanswered uint
	inProgress int
}

// Next returns when the next read begins if the store last sent data at lastData.
func (s *ReadSchedule) Next(lastData time.Time) time.Time {
	if resumed := lastData.Add(ReadInterval); s.postponable && resumed.After(s.next) {
		return resumed
	}
	return s.next
}

// Begin records that a read begins. The store may wait for a change up to wait if no
// answer is missing.
func (s *ReadSchedule) Begin(now time.Time, wait time.Duration) Read {
	r := Read{Number: s.newest + 1, Limit: s.readLimit(), Overlaps: s.unanswered > 0}
	if !r.Overlaps {
		r.Wait = wait
	}
	s.newest = r.Number
	s.unanswered++
	s.inProgress++
	s.next, s.postponable = now.Add(r.Wait+ReadInterval), true
	return r
}

// Answered records the answer to a read. The next read begins at once unless a newer
// one is in progress, whose answer should follow.
func (s *ReadSchedule) Answered(now time.Time, r Read) {
	s.inProgress--
	s.unanswered = 0
	if r.Number == s.newest {
		s.next, s.postponable = now, false
		return
	}
	s.next, s.postponable = now.Add(2*ReadInterval), true
}

// Refused records that the store refused a read.
func (s *ReadSchedule) Refused(now time.Time) {
	s.inProgress--
	if retry := now.Add(RetryDelay); retry.Before(s.next) {
		s.next, s.postponable = retry, false
	}
}

// TimedOut records that a read reached its limit.
func (s *ReadSchedule) TimedOut() { s.inProgress-- }

// readLimit returns how long the next read may take. The first without an answer to
// the ones before, and each 16th after it, may take MaxReadTime; of the others, half are
// given up after minReadTime, a quarter after twice that time, and so on. So about one
// read of each duration is in progress.
func (s *ReadSchedule) readLimit() time.Duration {
	const longest = 4 // minReadTime << longest exceeds MaxReadTime
	switch {
	case s.inProgress >= MaxReads-2:
		return minReadTime
	case s.unanswered == 0:
		return MaxReadTime
	}
	return min(minReadTime<<min(bits.TrailingZeros(s.unanswered), longest), MaxReadTime)
}
