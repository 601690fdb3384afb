package load

import (
	"fmt"
	"html/template"
	"io"
	"slices"
)

// Page is a report of several runs as one self-contained HTML page.
type Page struct {
	Title   string
	Reports []Report
}

const (
	barWidth  = 520.0
	barHeight = 18
)

// bar is one line of a plot.
type bar struct {
	Label, Value string
	Width        float64
	Y            int
	Baseline     bool
}

type plot struct {
	Title  string
	Height int
	Bars   []bar
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:14px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}svg text{font:12px sans-serif}</style>
</head><body><h1>{{.Title}}</h1>
{{range .Plots}}<h2>{{.Title}}</h2><svg width="900" height="{{.Height}}" role="img">
{{range .Bars}}<text x="0" y="{{.Y}}">{{.Label}}</text><rect x="260" y="{{.Y}}" width="{{.Width}}" height="12" transform="translate(0,-11)" fill="{{if .Baseline}}#999{{else}}#2a7{{end}}"/><text x="{{.Width}}" dx="266" y="{{.Y}}">{{.Value}}</text>
{{end}}</svg>{{end}}
<h2>Runs</h2><table><tr><th>class</th><th>policy</th><th>seed</th><th>requests</th><th>answers</th><th>failed</th><th>not run</th><th>unknown</th><th>in time</th><th>p50 ms</th><th>p95 ms</th><th>p99 ms</th><th>start p99 ms</th></tr>
{{range $r := .Reports}}{{range .Classes}}{{if not .Org}}<tr><td>{{.Class}}</td><td>{{$r.Policy}}</td><td>{{$r.Seed}}</td><td>{{.Requests}}</td><td>{{.Answers}}</td><td>{{.Failed}}</td><td>{{.NotRun}}</td><td>{{.Unknown}}</td><td>{{printf "%.3f" .WithinDeadline}}</td><td>{{.CompletionMs.P50}}</td><td>{{.CompletionMs.P95}}</td><td>{{.CompletionMs.P99}}</td><td>{{.StartDelayMs.P99}}</td></tr>{{end}}{{end}}
{{end}}</table></body></html>
`))

// Write renders the page.
func (p Page) Write(w io.Writer) error {
	data := struct {
		Page
		Plots []plot
	}{Page: p, Plots: p.plots()}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("load: report: %w", err)
	}
	return nil
}

func (p Page) plots() []plot {
	plots := []plot{p.plot("Accelerators idle while a gang waits, share of all", "%.3f", func(r Report) (float64, bool) { return r.Idle.Share, true })}
	var classes []string
	for _, r := range p.Reports {
		for _, c := range r.Classes {
			if c.Org == "" && !slices.Contains(classes, c.Class) {
				classes = append(classes, c.Class)
			}
		}
	}
	for _, name := range classes {
		plots = append(plots, p.plot(name+": completion time, p99 in ms", "%.0f", func(r Report) (float64, bool) {
			c, ok := r.class(name)
			return float64(c.CompletionMs.P99), ok
		}))
	}
	return plots
}

// class returns the sum over the organisations of one class.
func (r Report) class(name string) (ClassSummary, bool) {
	i := slices.IndexFunc(r.Classes, func(c ClassSummary) bool { return c.Org == "" && c.Class == name })
	if i < 0 {
		return ClassSummary{}, false
	}
	return r.Classes[i], true
}

func (p Page) plot(title, format string, value func(Report) (float64, bool)) plot {
	result := plot{Title: title}
	most := 0.0
	for _, r := range p.Reports {
		v, _ := value(r)
		most = max(most, v)
	}
	for _, r := range p.Reports {
		v, ok := value(r)
		if !ok {
			continue
		}
		width := 1.0
		if most > 0 {
			width = max(1, barWidth*v/most)
		}
		result.Bars = append(result.Bars, bar{
			Label: fmt.Sprintf("%s, %s, seed %d", r.Profile, r.Policy, r.Seed), Value: fmt.Sprintf(format, v),
			Width: width, Y: barHeight * (len(result.Bars) + 1), Baseline: r.Policy == "baseline",
		})
	}
	result.Height = barHeight*len(result.Bars) + barHeight
	return result
}
