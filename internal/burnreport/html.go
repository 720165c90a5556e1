package burnreport

import (
	_ "embed" // the page's template
	"fmt"
	"html/template"
	"io"
	"strings"

	"filbertdeck/internal/failure"
)

//go:embed report.html.tmpl
var pageText string

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"burn": burnText, "percent": func(v float64) string { return fmt.Sprintf("%.2f%%", v*100) },
	"plot": plot, "bar": bar, "times": func(v float64) string { return fmt.Sprintf("%.2f", v) },
	"class": class,
}).Parse(pageText))

// HTML writes the report as one page that needs nothing else.
func HTML(w io.Writer, r Report) error {
	if err := page.Execute(w, r); err != nil {
		return failure.Wrap(err, failure.KindInternal, "the page cannot be written")
	}
	return nil
}

// The size of a plot, in the units of its view box.
const (
	plotWidth  = 320.0
	plotHeight = 60.0
	// plotTop is the burn rate at the upper edge: faster burns are drawn there.
	plotTop = 4.0
)

// plot draws a series of burn rates; a gap stays empty, so that missing events
// do not look like good ones. The dashed line is burn rate 1.
func plot(series []float64) template.HTML {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %g %g" role="img" aria-label="burn rate over time">`, plotWidth, plotHeight)
	one := height(1)
	fmt.Fprintf(&b, `<line class="one" x1="0" y1="%.1f" x2="%g" y2="%.1f"/>`, one, plotWidth, one)
	for _, run := range runs(series) {
		fmt.Fprintf(&b, `<polyline points="%s"/>`, points(run, len(series)))
	}
	b.WriteString(`</svg>`)
	return template.HTML(b.String()) // numbers only
}

func height(burn float64) float64 { return plotHeight * (1 - min(burn, plotTop)/plotTop) }

// run is a stretch of a series without a gap.
type run struct {
	from   int
	values []float64
}

func runs(series []float64) []run {
	var out []run
	open := false
	for i, v := range series {
		if v < 0 {
			open = false
			continue
		}
		if !open {
			out = append(out, run{from: i})
			open = true
		}
		last := &out[len(out)-1]
		last.values = append(last.values, v)
	}
	return out
}

func points(r run, total int) string {
	step := plotWidth / float64(max(total-1, 1))
	texts := make([]string, 0, len(r.values)+1)
	for i, v := range r.values {
		texts = append(texts, fmt.Sprintf("%.1f,%.1f", float64(r.from+i)*step, height(v)))
	}
	if len(texts) == 1 {
		texts = append(texts, fmt.Sprintf("%.1f,%.1f", float64(r.from)*step+2, height(r.values[0])))
	}
	return strings.Join(texts, " ")
}

// bar draws a part of one.
func bar(part float64) template.HTML {
	return template.HTML(fmt.Sprintf(
		`<svg class="bar" viewBox="0 0 100 10" preserveAspectRatio="none" role="img" aria-label="%.0f%%"><rect width="%.1f" height="10"/></svg>`,
		part*100, min(max(part, 0), 1)*100))
}

func class(v Verdict) string {
	switch v {
	case Holds:
		return "good"
	case Broken:
		return "bad"
	}
	return "open"
}
