package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// suffix is the file name extension of settings files; other files are ignored.
const suffix = ".toml"

// File is a settings file.
type File struct {
	Name string
	Data []byte
}

// ReadFolder reads the TOML files of a folder in the order of their names.
func ReadFolder(dir string) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "settings folder")
	}
	var files []File
	for _, e := range entries {
		if e.IsDir() || !strings.HasSuffix(e.Name(), suffix) || strings.HasPrefix(e.Name(), ".") {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "settings file")
		}
		files = append(files, File{Name: filepath.Join(dir, e.Name()), Data: data})
	}
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	if len(files) == 0 {
		return nil, errors.Newf("settings folder %s contains no %s file", dir, suffix)
	}
	return files, nil
}

// Load reads, merges and validates the files of a folder. If their content is
// invalid, the error is of type Problems.
func Load(dir string, scope Scope) (Settings, error) {
	files, err := ReadFolder(dir)
	if err != nil {
		return Settings{}, err
	}
	return Parse(dir, files, scope)
}

// Parse merges files over the defaults and validates the result. Later files
// override earlier ones. Problems with missing keys use name as their file. If
// the content is invalid, the error is of type Problems.
func Parse(name string, files []File, scope Scope) (Settings, error) {
	tree, where, problems := merge(files)
	report := func(key, want string) {
		p := locate(where, key, name)
		problems = append(problems, Problem{File: p.file, Line: p.line, Column: p.column, Key: key, Expected: want})
	}
	result := Default()
	d := decoder{report: report}
	d.table("", tree, reflect.ValueOf(&result).Elem())
	if len(problems) == 0 {
		validate(result, scope, report)
	}
	if len(problems) > 0 {
		return Settings{}, problems.sorted()
	}
	return result, nil
}

// merge merges the files into one tree. It also returns the position at which
// each key was last set, and the syntax errors of the files, which it skips.
func merge(files []File) (map[string]any, map[string]position, Problems) {
	tree := map[string]any{}
	where := map[string]position{}
	var problems Problems
	for _, f := range files {
		var parsed map[string]any
		if err := toml.Unmarshal(f.Data, &parsed); err != nil {
			problems = append(problems, syntaxProblem(f.Name, err))
			continue
		}
		for key, p := range positions(f.Name, f.Data) {
			where[key] = p
		}
		overlay(tree, parsed)
	}
	return tree, where, problems
}

// overlay merges table b into table a; values of b take precedence.
func overlay(a, b map[string]any) {
	for key, value := range b {
		inner, isTable := value.(map[string]any)
		existing, wasTable := a[key].(map[string]any)
		if isTable && wasTable {
			overlay(existing, inner)
			continue
		}
		a[key] = value
	}
}

func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Expected: err.Error()}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		p.Line, p.Column = de.Position()
		p.Key = strings.Join(de.Key(), ".")
	}
	return p
}

// locate returns the position of a key, or else of the nearest enclosing table
// in the files.
func locate(where map[string]position, key, name string) position {
	for {
		if i := strings.IndexByte(key, '['); i >= 0 {
			key = key[:i]
		}
		if p, ok := where[key]; ok {
			return p
		}
		i := strings.LastIndexByte(key, '.')
		if i < 0 {
			return position{file: name}
		}
		key = key[:i]
	}
}
