package colocate

import (
	"time"

	"github.com/fireflygate/fireflygate/interference"
)

// Action is what to do about one filler.
type Action uint8

// The actions.
const (
	// Leave it as it is.
	Leave Action = iota
	// Slow it down.
	Slow
	// Move it: stop it, so that it resumes elsewhere.
	Move
	// Resume its full speed.
	Resume
)

const (
	// nearShare is the share of its target from which a tail is acted on.
	nearShare = 1.0
	// calmShare is the share below which all tails must be for a slowed
	// filler to resume; the gap to nearShare is the hysteresis.
	calmShare = 0.5
	// Patience is how long a tail may stay over its target although the worst
	// filler was slowed, before the next one is: one window of half a second
	// and the way of an order and a report.
	Patience = 700 * time.Millisecond
	// lastResortShare is the share of the users' bound on a tail over its
	// target after which all fillers beside it give way, blamed or not: early
	// enough that the effect shows within half of the bound.
	lastResortShare = 0.25
	// watchShare is the share from which a worker is looked at often.
	watchShare = 0.6
	// newPatience is how long a tail is over before fillers too new to show
	// in it are blamed; moving each new one made 1.5 times the moves.
	newPatience = 500 * time.Millisecond
	// leastBlame is the least that a filler must add to the logarithm of a tail
	// to be acted on; below it the tail is of the task's own making.
	leastBlame = 0.1
	// SlowPercent is the pace of a slowed filler. It doesn't work at all: at 5%
	// it still kept a tail over its target that the task's own load had brought
	// near.
	SlowPercent = 0
	// restartPercent is the progress below which a filler that can't save is
	// rather begun anew elsewhere than slowed here.
	restartPercent = 40
)

// Guard decides about each filler of a worker, in their order. The caller
// leaves Patience between two decisions that act; bound is how long a tail may
// be over its target at all. One filler at a time is acted on, the one to blame
// most for the tail that is worst off, so that those without blame go on.
func Guard(m *interference.Model, w *Worker, bound time.Duration) []Action {
	actions := make([]Action, len(w.Fillers))
	s, ratio := w.worstTail()
	switch {
	case s == nil || len(w.Fillers) == 0:
	case s.OverFor >= time.Duration(lastResortShare*float64(bound)):
		for i := range w.Fillers {
			actions[i] = w.Fillers[i].giveWay()
		}
	case ratio >= nearShare:
		if i := w.toBlame(m, s.Class, s.OverFor); i >= 0 {
			actions[i] = w.Fillers[i].giveWay()
		}
	case ratio < calmShare:
		for i := range w.Fillers {
			if w.Fillers[i].Pace < 100 {
				actions[i] = Resume
				break
			}
		}
	}
	return actions
}

// giveWay returns how a filler makes room: by resuming elsewhere if it can.
func (f *Filler) giveWay() Action {
	switch {
	case f.Saves || f.Percent < restartPercent:
		return Move
	case f.Pace < 100:
		return Leave
	default:
		return Slow
	}
}

// Watch reports whether the worker's tails may pass a target soon, so that it
// should be looked at often: a tail is long, or a filler is new.
func (w *Worker) Watch() bool {
	if len(w.Serving) == 0 || len(w.Fillers) == 0 {
		return false
	}
	if _, ratio := w.worstTail(); ratio >= watchShare {
		return true
	}
	return w.Unsettled()
}

// worstTail returns the serving task whose tail is highest by its target.
func (w *Worker) worstTail() (*Serving, float64) {
	var found *Serving
	ratio := 0.0
	for i := range w.Serving {
		s := &w.Serving[i]
		if r := float64(s.Tail) / float64(s.Target); s.Target > 0 && r > ratio {
			found, ratio = s, r
		}
	}
	return found, ratio
}

// toBlame returns the filler at full speed that adds most to a class's tail,
// -1 if there is none. A filler whose effect no report covers yet is blamed
// only once the tail has been over for a while.
func (w *Worker) toBlame(m *interference.Model, class string, overFor time.Duration) int {
	at, most := -1, leastBlame
	for i := range w.Fillers {
		f := &w.Fillers[i]
		if f.Pace < 100 || (!f.Settled && overFor < newPatience) {
			continue
		}
		mean, deviation := m.Blame(class, f.Image, f.Part)
		if blame := mean + deviation; blame > most {
			at, most = i, blame
		}
	}
	return at
}
