package integration

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// Mutation is a mechanism broken on purpose, to see that its proof can fail.
type Mutation struct {
	Name string
	// File is the source file, from the root of the module; Old is a text in
	// it that New stands for in the broken program.
	File, Old, New string
	// Test is the scenario that must fail, as a pattern of go test.
	Test string
	// Breach is a text that its output must hold.
	ExpectedOutput string
}

// Mutations returns all of them.
func Mutations() []Mutation { return append(interactiveMutations, batchMutations...) }

// BuildMutant builds the programs with one mechanism broken. The sources stay
// as they are.
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
		return Programs{}, errors.Newf("%s: %s holds the text %d times, expected once", m.Name, m.File, n)
	}
	broken := filepath.Join(dir, "mutant.go")
	if err := os.WriteFile(broken, []byte(strings.Replace(string(text), m.Old, m.New, 1)), 0o644); err != nil {
		return Programs{}, errors.Wrap(err, m.Name)
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {source: broken}})
	if err != nil {
		return Programs{}, errors.Wrap(err, m.Name)
	}
	file := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(file, overlay, 0o644); err != nil {
		return Programs{}, errors.Wrap(err, m.Name)
	}
	return Build(dir, "-overlay", file)
}
