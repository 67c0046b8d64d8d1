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

// section is the part of the page for one objective.
type section struct {
	*operations.BurnReport
	Burn, Calls template.HTML
}

// Write writes a page of the reports, which an entry host returned at the time
// at.
func Write(w io.Writer, reports []*operations.BurnReport, at time.Time) error {
	sections := make([]section, 0, len(reports))
	for _, r := range reports {
		burn, err := burnPlot(r)
		if err != nil {
			return errors.Wrapf(err, "plot burn of objective %s", r.Objective)
		}
		calls, err := callsPlot(r)
		if err != nil {
			return errors.Wrapf(err, "plot calls of objective %s", r.Objective)
		}
		sections = append(sections, section{BurnReport: r, Burn: burn, Calls: calls})
	}
	err := page.Execute(w, struct {
		At       string
		Sections []section
	}{at.UTC().Format(time.RFC3339), sections})
	return errors.Wrap(err, "write burn page")
}

// lengthText formats a duration in milliseconds as a short text such as 5m, 1h
// or 3d.
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
