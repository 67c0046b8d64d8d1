package interference

// entry is one non-zero feature.
type entry struct {
	at    int
	value float64
}

// vector is a sparse vector of features.
type vector []entry

// dot returns the product with a dense vector.
func (v vector) dot(dense []float64) float64 {
	sum := 0.0
	for _, e := range v {
		sum += e.value * dense[e.at]
	}
	return sum
}
