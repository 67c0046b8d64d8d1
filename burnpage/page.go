package burnpage

import (
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/gen/operations"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"length": func(ms int64) string { return lengthText(ms) },
}).Parse(pageText))

// section is one objective on the page.
type section struct {
	*operations.BurnReport
	Burn, Calls template.HTML
}

// Write writes the page of the reports as read at a time from an entry host.
func Write(w io.Writer, reports []*operations.BurnReport, at time.Time) error {
	sections := make([]section, 0, len(reports))
	for _, r := range reports {
		burn, err := burnPlot(r)
		if err != nil {
			return errors.Wrapf(err, "burn of %s", r.Objective)
		}
		calls, err := callsPlot(r)
		if err != nil {
			return errors.Wrapf(err, "calls of %s", r.Objective)
		}
		sections = append(sections, section{BurnReport: r, Burn: burn, Calls: calls})
	}
	err := page.Execute(w, struct {
		At       string
		Sections []section
	}{at.UTC().Format(time.RFC3339), sections})
	return errors.Wrap(err, "page")
}

// lengthText writes a window's length as operators name it: 5m, 1h, 3d.
func lengthText(ms int64) string {
	d := time.Duration(ms) * time.Millisecond
	const day = 24 * time.Hour
	switch {
	case d >= day && d%day == 0:
		return formatUnit(d/day, "d")
	case d >= time.Hour && d%time.Hour == 0:
		return formatUnit(d/time.Hour, "h")
	case d >= time.Minute && d%time.Minute == 0:
		return formatUnit(d/time.Minute, "m")
	default:
		return d.Round(time.Second).String()
	}
}
