package gate

import "time"

// checkServing checks that a host that started serves in time while the store can't be
// read, if most hosts have served and reached it for that time.
func (s *configSim) checkServing() {
	now := time.Now()
	s.observe(now)
	for _, h := range s.hosts {
		_, down := s.restartAt[h]
		if down || !h.tableDown.Load() || s.storeSince[h].After(s.startedAt[h]) || len(*h.listed.Load()) < len(s.hosts)-1 {
			continue
		}
		serving := 0
		for _, other := range s.hosts {
			if other != h && s.lasted(s.servedSince[other], now) && s.lasted(s.reachedSince[h][other], now) {
				serving++
			}
		}
		if _, ok := h.version(); !ok && s.lasted(s.startedAt[h], now) && serving > len(s.hosts)/2 {
			s.t.Errorf("%s has no version %v after its start, want one with %d of %d hosts in reach", h.name, now.Sub(s.startedAt[h]), serving, len(s.hosts))
		}
	}
}

// lasted reports whether something has lasted for simBound.
func (s *configSim) lasted(since, now time.Time) bool {
	return !since.IsZero() && now.Sub(since) > simBound
}

// observe records which hosts serve, and which ones reach each other without delay.
func (s *configSim) observe(now time.Time) {
	for _, h := range s.hosts {
		if _, ok := h.version(); !ok || h.isolated() {
			delete(s.servedSince, h)
		} else if s.servedSince[h].IsZero() {
			s.servedSince[h] = now
		}
		for _, other := range s.hosts {
			linked := h.reaches(other) && other.reaches(h) && h.lists(other.name) && other.lists(h.name) && h.hop.Load()+other.hop.Load() == 0 && !h.losing.Load() && !other.losing.Load()
			if !linked {
				delete(s.reachedSince[h], other)
			} else if s.reachedSince[h][other].IsZero() {
				s.reachedSince[h][other] = now
			}
		}
	}
}
