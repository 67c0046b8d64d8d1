package colocate

import "math"

// effect returns the effect of an image on a class's slack at the given
// pressure, and its standard deviation.
func (m *Model) effect(class, image string, pressure float64) (mean, deviation float64) {
	e := m.pair(m.classPairs(class), class, image)
	return e.mean * pressure, e.deviation * pressure
}

// classPairs returns the cached effects on a class, by image. If nothing is
// cached, it adds the class to those with learned effects.
func (m *Model) classPairs(class string) map[string]pairEffect {
	images := m.pairEffects[class]
	if images == nil {
		m.registerClass(class)
		images = map[string]pairEffect{}
		m.pairEffects[class] = images
	}
	return images
}

// pair returns the effect of an image on a class and caches it in images.
func (m *Model) pair(images map[string]pairEffect, class, image string) pairEffect {
	e, known := images[image]
	if !known {
		e.mean, e.deviation = m.effects.Effect(class, image, 1)
		if e.deviation == 0 { // the model holds its maximum of classes
			e.mean, e.deviation = priorEffect, math.Sqrt(priorVariance+priorClassVariance)
		}
		e.mean = max(e.mean, 0)
		images[image] = e
	}
	return e
}

// pairEffect is the effect of a best-effort task at a pressure of 1, which is
// a whole worker. The effect is proportional to the pressure.
type pairEffect struct{ mean, deviation float64 }

// Effect returns the estimated effect on a class's slack of a best-effort task
// of the image that has all processors of a worker.
func (m *Model) Effect(class, image string) float64 {
	mean, _ := m.effect(class, image, 1)
	return mean
}

// registerClass adds the class to those with learned effects.
func (m *Model) registerClass(class string) {
	if m.classes[class] == 0 {
		m.classes[class] = 1
	}
}

// MaxEffect returns the largest Effect of the image on any class.
func (m *Model) MaxEffect(image string) float64 {
	largest := 0.0
	for class := range m.classes {
		largest = max(largest, m.Effect(class, image))
	}
	return largest
}
