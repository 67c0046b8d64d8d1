package integration

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestMutationsFit finds each mutation's text in the sources: one that was
// left behind by a change of them proves nothing.
func TestMutationsFit(t *testing.T) {
	for _, m := range Mutations() {
		text, err := os.ReadFile(filepath.Join("..", filepath.FromSlash(m.File)))
		if err != nil {
			t.Error(err)
			continue
		}
		if n := strings.Count(string(text), m.Old); n != 1 {
			t.Errorf("%s: %s holds the text %d times, expected once", m.Name, m.File, n)
		}
	}
}
