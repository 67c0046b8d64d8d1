package integration

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// Mutation is a deliberate fault in one mechanism, which a test must detect.
type Mutation struct {
	Name string
	// File is the source file, relative to the root of the module. New replaces
	// Old, which must occur exactly once in it.
	File, Old, New string
	// Test is the test that must fail, as a pattern for go test -run.
	Test string
	// ExpectedOutput is a text that the output of Test must contain.
	ExpectedOutput string
}

// Mutations returns all mutations.
func Mutations() []Mutation { return append(interactiveMutations, batchMutations...) }

// BuildMutant builds the programs into dir with a mutation applied. The source
// files aren't changed.
func BuildMutant(dir string, m Mutation) (Programs, error) {
	source, err := filepath.Abs(filepath.Join("..", filepath.FromSlash(m.File)))
	if err != nil {
		return Programs{}, errors.Wrap(err, m.Name)
	}
	text, err := os.ReadFile(source)
	if err != nil {
		return Programs{}, errors.Wrap(err, m.Name)
	}
	if n := strings.Count(string(text), m.Old); n != 1 {
		return Programs{}, errors.Newf("%s: %s contains the text to replace %d times, expected once", m.Name, m.File, n)
	}
	mutant := filepath.Join(dir, "mutant.go")
	if err := os.WriteFile(mutant, []byte(strings.Replace(string(text), m.Old, m.New, 1)), 0o644); err != nil {
		return Programs{}, errors.Wrap(err, m.Name)
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {source: mutant}})
	if err != nil {
		return Programs{}, errors.Wrap(err, m.Name)
	}
	file := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(file, overlay, 0o644); err != nil {
		return Programs{}, errors.Wrap(err, m.Name)
	}
	return Build(dir, "-overlay", file)
}
