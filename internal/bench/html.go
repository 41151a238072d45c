package bench

import (
	"fmt"
	"html/template"
	"maps"
	"os"
	"slices"
	"strings"
)

// Sizes of the plots, in pixels.
const (
	plotWidth  = 720
	plotHeight = 220
	plotMargin = 60
	barHeight  = 18
)

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>pollenlug bench {{.Report.Name}}</title>
<style>body{font:14px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}
td:first-child,th:first-child{text-align:left}.broken{color:#b00}svg text{font:11px sans-serif}</style></head><body>
<h1>pollenlug bench {{.Report.Name}}</h1>
<p>{{.Report.Line}}</p>
{{range .Report.Broken}}<p class="broken">Violated guarantee: {{.}}</p>{{end}}
<h2>First token, by class</h2>{{.First}}
<h2>Between tokens, by class</h2>{{.Gaps}}
<h2>Tokens per second over time</h2>{{.Throughput}}
<h2>Refusals by code (attempts)</h2>{{.Refusals}}
<h2>Classes</h2>
<table><tr><th>class</th><th>requests</th><th>accepted</th><th>complete</th><th>exact</th><th>first token p50</th><th>p95</th><th>p99 (ms)</th><th>between tokens p50</th><th>p95</th><th>p99 (ms)</th></tr>
{{range $name, $c := .Report.Classes}}<tr><td>{{$name}}</td><td>{{$c.Requests}}</td><td>{{$c.Accepted}}</td><td>{{$c.Complete}}</td><td>{{$c.Exact}}</td>
<td>{{$c.FirstToken.P50}}</td><td>{{$c.FirstToken.P95}}</td><td>{{$c.FirstToken.P99}}</td>
<td>{{$c.BetweenTokens.P50}}</td><td>{{$c.BetweenTokens.P95}}</td><td>{{$c.BetweenTokens.P99}}</td></tr>{{end}}</table>
{{if .Report.Examples}}<h2>Faults</h2><ul>{{range .Report.Examples}}<li>{{.}}</li>{{end}}</ul>{{end}}
</body></html>
`))

// WriteHTML writes the report as one self-contained page.
func (r *Report) WriteHTML(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	first := func(c ClassReport) Quantiles { return c.FirstToken }
	gaps := func(c ClassReport) Quantiles { return c.BetweenTokens }
	err = page.Execute(file, map[string]any{
		"Report":     r,
		"First":      r.latencyPlot(first),
		"Gaps":       r.latencyPlot(gaps),
		"Throughput": r.throughputPlot(),
		"Refusals":   r.refusalPlot(),
	})
	if err != nil {
		return err
	}
	return file.Close()
}

// bar is one bar of a plot.
type bar struct {
	label string
	value float64
	color string
}

// latencyPlot draws p50, p95 and p99 of each class.
func (r *Report) latencyPlot(of func(ClassReport) Quantiles) template.HTML {
	var bars []bar
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		q := of(r.Classes[name])
		if q.Count == 0 {
			continue
		}
		bars = append(bars,
			bar{name + " p50 ms", q.P50, "#7aa6c2"},
			bar{name + " p95 ms", q.P95, "#3f7399"},
			bar{name + " p99 ms", q.P99, "#1d4260"})
	}
	return barPlot(bars)
}

func (r *Report) refusalPlot() template.HTML {
	var bars []bar
	for _, name := range slices.Sorted(maps.Keys(r.Refusals)) {
		bars = append(bars, bar{name, float64(r.Refusals[name]), "#b5651d"})
	}
	return barPlot(bars)
}

func barPlot(bars []bar) template.HTML {
	const labelWidth = 220
	if len(bars) == 0 {
		return "<p>none</p>"
	}
	highest := 0.0
	for _, b := range bars {
		highest = max(highest, b.value)
	}
	var out strings.Builder
	fmt.Fprintf(&out, `<svg width="%d" height="%d">`, plotWidth, len(bars)*barHeight)
	for i, b := range bars {
		width := 0.0
		if highest > 0 {
			width = b.value / highest * (plotWidth - labelWidth - plotMargin)
		}
		y := i * barHeight
		fmt.Fprintf(&out, `<text x="%d" y="%d" text-anchor="end">%s</text>`, labelWidth-6, y+barHeight-5, template.HTMLEscapeString(b.label))
		fmt.Fprintf(&out, `<rect x="%d" y="%d" width="%.1f" height="%d" fill="%s"/>`, labelWidth, y+2, width, barHeight-4, b.color)
		fmt.Fprintf(&out, `<text x="%.1f" y="%d">%.5g</text>`, labelWidth+width+4, y+barHeight-5, b.value)
	}
	out.WriteString("</svg>")
	return template.HTML(out.String())
}

// throughputPlot draws the tokens received in each second.
func (r *Report) throughputPlot() template.HTML {
	highest := 1
	for _, s := range r.Timeline {
		highest = max(highest, s.Tokens)
	}
	var points []string
	for i, s := range r.Timeline {
		x := plotMargin + float64(i)/float64(max(1, len(r.Timeline)-1))*(plotWidth-plotMargin)
		y := plotHeight - 20 - float64(s.Tokens)/float64(highest)*(plotHeight-40)
		points = append(points, fmt.Sprintf("%.1f,%.1f", x, y))
	}
	var out strings.Builder
	fmt.Fprintf(&out, `<svg width="%d" height="%d">`, plotWidth, plotHeight)
	fmt.Fprintf(&out, `<text x="0" y="24">%d</text><text x="0" y="%d">0</text>`, highest, plotHeight-18)
	fmt.Fprintf(&out, `<text x="%d" y="%d">0 s</text><text x="%d" y="%d">%d s</text>`, plotMargin, plotHeight-4, plotWidth-40, plotHeight-4, len(r.Timeline))
	fmt.Fprintf(&out, `<polyline fill="none" stroke="#3f7399" points="%s"/></svg>`, strings.Join(points, " "))
	return template.HTML(out.String())
}
