package integration

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestMutationTextsMatchSources checks that the text of each mutation occurs once
// in its source file: after a change of that file the mutation may no longer apply.
func TestMutationTextsMatchSources(t *testing.T) {
	for _, m := range Mutations() {
		text, err := os.ReadFile(filepath.Join("..", filepath.FromSlash(m.File)))
		if err != nil {
			t.Error(err)
			continue
		}
		if n := strings.Count(string(text), m.Old); n != 1 {
			t.Errorf("%s: %s contains the text to replace %d times, expected once", m.Name, m.File, n)
		}
	}
}
