package colocate

import "math"

// effect returns what a filler that disturbs by so much of a worker takes from
// a class's slack, and the deviation of the estimate.
func (m *Model) effect(class, image string, press float64) (mean, deviation float64) {
	e := m.pair(m.classPairs(class), class, image)
	return e.mean * press, e.deviation * press
}

// classPairs returns the effects on a class as far as they are worked out.
func (m *Model) classPairs(class string) map[string]pairEffect {
	images := m.pairs[class]
	if images == nil {
		m.know(class)
		images = map[string]pairEffect{}
		m.pairs[class] = images
	}
	return images
}

// pair returns the effect of an image on a class, and keeps it in images.
func (m *Model) pair(images map[string]pairEffect, class, image string) pairEffect {
	e, known := images[image]
	if !known {
		e.mean, e.deviation = m.effects.Effect(class, image, 1)
		if e.deviation == 0 { // more classes than the model holds
			e.mean, e.deviation = anyEffect, math.Sqrt(anyVariance+classVariance)
		}
		e.mean = max(e.mean, 0)
		images[image] = e
	}
	return e
}

// pairEffect is the effect of a filler that disturbs by a whole worker. It is
// proportional to the part.
type pairEffect struct{ mean, deviation float64 }

// Effect returns what a filler of the image that had all processors of a
// worker is estimated to take from a class's slack.
func (m *Model) Effect(class, image string) float64 {
	mean, _ := m.effect(class, image, 1)
	return mean
}

// know makes the class one that effects are learned of.
func (m *Model) know(class string) {
	if m.classes[class] == 0 {
		m.classes[class] = 1
	}
}

// MaxEffect returns the most that a filler of the image is estimated to take
// from any class's slack if it had all processors of a worker.
func (m *Model) MaxEffect(image string) float64 {
	loudest := 0.0
	for class := range m.classes {
		loudest = max(loudest, m.Effect(class, image))
	}
	return loudest
}
