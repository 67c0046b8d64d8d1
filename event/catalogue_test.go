package event

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// row matches a table row of the catalogue: number, level and message.
var row = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| (.+?) \| .+ \|$`)

// TestCatalogue checks that docs/events lists exactly the events of this package,
// with the same levels and messages.
func TestCatalogue(t *testing.T) {
	pages, err := filepath.Glob("../docs/events/*.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[int]string{}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range row.FindAllStringSubmatch(string(text), -1) {
			number, err := strconv.Atoi(m[1])
			if err != nil {
				t.Fatal(err)
			}
			if _, dup := documented[number]; dup {
				t.Errorf("event %d: duplicate row in docs/events", number)
			}
			documented[number] = strings.ToUpper(m[2]) + " " + m[3]
		}
	}
	for number, e := range All() {
		want := fmt.Sprintf("%s %s", e.Level, e.Message)
		if got := documented[number]; got != want {
			t.Errorf("event %d: code has %q, docs/events has %q", number, want, got)
		}
		delete(documented, number)
	}
	for number, line := range documented {
		t.Errorf("event %d (%s) is in docs/events but not in the code", number, line)
	}
}
