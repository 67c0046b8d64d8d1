package dispatch

import "github.com/fireflygate/fireflygate/colocate"

// view is what a planning cycle has worked out of a worker; it holds until
// the cycle places something there. Without it a cycle over some hundred
// waiting fillers took ten times as long, and the owner fell behind.
type view struct {
	w                *worker
	serving, fillers int
	// byClass counts serving runs by class.
	byClass map[string]int
	unused  int64
	load    *colocate.Worker
	harm    map[harmKey]colocate.Harm
}

// harmKey names a placement whose harm is known: fillers of an image, by the
// processors they ask for.
type harmKey struct {
	image string
	cpu   int64
}

// fillerKey names fillers for which a cycle has found no room. The smallest
// comes no earlier than others, so a few may wait for the next cycle in vain.
type fillerKey struct {
	image, pool, label string
}

// view returns what is known of a worker.
func (c *cycle) view(w *worker) *view {
	v := c.views[w]
	if v == nil {
		v = &view{w: w, unused: w.unusedCPU(c.now)}
		v.serving, v.fillers = w.serving()
		v.byClass = w.servingByClass()
		c.views[w] = v
	}
	return v
}

// colocation returns what runs on the worker.
func (v *view) colocation(c *cycle) *colocate.Worker {
	if v.load == nil {
		v.load, _ = v.w.colocation(c.now)
	}
	return v.load
}

// harmOf returns what one more filler of the step would do.
func (v *view) harmOf(c *cycle, st *step) colocate.Harm {
	key := harmKey{st.spec.Image, st.spec.Needs.MilliCPU}
	if h, ok := v.harm[key]; ok {
		return h
	}
	part := float64(key.cpu) / float64(max(v.w.info.Capacity.MilliCPU, 1))
	h := colocate.HarmOf(c.s.model, v.colocation(c), key.image, part)
	if v.harm == nil {
		v.harm = map[harmKey]colocate.Harm{}
	}
	v.harm[key] = h
	return h
}
