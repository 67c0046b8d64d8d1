package interference

// entry is a non-zero element of a vector.
type entry struct {
	index int
	value float64
}

// vector is a sparse feature vector.
type vector []entry

// dot returns the inner product with a dense vector.
func (v vector) dot(dense []float64) float64 {
	sum := 0.0
	for _, e := range v {
		sum += e.value * dense[e.index]
	}
	return sum
}
