package burnreport

import (
	_ "embed" // embeds the page template
	"fmt"
	"html/template"
	"io"
	"strings"

	"filbertdeck/internal/failure"
)

//go:embed report.html.tmpl
var pageSource string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"burn": formatBurnRate, "percent": func(v float64) string { return fmt.Sprintf("%.2f%%", v*100) },
	"plot": plot, "bar": bar, "times": func(v float64) string { return fmt.Sprintf("%.2f", v) },
	"class": verdictClass,
}).Parse(pageSource))

// WriteHTML writes the report as a self-contained HTML page.
func WriteHTML(w io.Writer, r Report) error {
	if err := pageTemplate.Execute(w, r); err != nil {
		return failure.Wrap(err, failure.KindInternal, "the page cannot be written")
	}
	return nil
}

// Dimensions of a plot, in SVG view box units.
const (
	plotWidth  = 320.0
	plotHeight = 60.0
	// maxPlottedBurnRate is the burn rate at the upper edge of the plot; higher
	// rates are drawn at the edge.
	maxPlottedBurnRate = 4.0
)

// plot draws a series of burn rates as SVG. Intervals without events stay empty,
// so that missing events do not look like good ones. The dashed line marks a
// burn rate of 1.
func plot(series []float64) template.HTML {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %g %g" role="img" aria-label="burn rate over time">`, plotWidth, plotHeight)
	allowedY := plotY(1)
	fmt.Fprintf(&b, `<line class="one" x1="0" y1="%.1f" x2="%g" y2="%.1f"/>`, allowedY, plotWidth, allowedY)
	for _, s := range segments(series) {
		fmt.Fprintf(&b, `<polyline points="%s"/>`, polylinePoints(s, len(series)))
	}
	b.WriteString(`</svg>`)
	return template.HTML(b.String()) // contains only formatted numbers, so nothing needs escaping
}

func plotY(burnRate float64) float64 {
	return plotHeight * (1 - min(burnRate, maxPlottedBurnRate)/maxPlottedBurnRate)
}

// segment is a part of a series without gaps. start is its index in the series.
type segment struct {
	start  int
	values []float64
}

func segments(series []float64) []segment {
	var out []segment
	inSegment := false
	for i, v := range series {
		if v < 0 {
			inSegment = false
			continue
		}
		if !inSegment {
			out = append(out, segment{start: i})
			inSegment = true
		}
		last := &out[len(out)-1]
		last.values = append(last.values, v)
	}
	return out
}

func polylinePoints(s segment, total int) string {
	step := plotWidth / float64(max(total-1, 1))
	coordinates := make([]string, 0, len(s.values)+1)
	for i, v := range s.values {
		coordinates = append(coordinates, fmt.Sprintf("%.1f,%.1f", float64(s.start+i)*step, plotY(v)))
	}
	if len(coordinates) == 1 {
		coordinates = append(coordinates, fmt.Sprintf("%.1f,%.1f", float64(s.start)*step+2, plotY(s.values[0])))
	}
	return strings.Join(coordinates, " ")
}

// bar draws a horizontal bar for a fraction between 0 and 1.
func bar(fraction float64) template.HTML {
	return template.HTML(fmt.Sprintf(
		`<svg class="bar" viewBox="0 0 100 10" preserveAspectRatio="none" role="img" aria-label="%.0f%%"><rect width="%.1f" height="10"/></svg>`,
		fraction*100, min(max(fraction, 0), 1)*100))
}

func verdictClass(v Verdict) string {
	switch v {
	case NoBreach:
		return "good"
	case Broken:
		return "bad"
	}
	return "open"
}
