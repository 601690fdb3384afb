// Package trace collects from the logs of several processes the lines about one
// job and prints them in order of time. It reads the lines that package eventlog
// writes. It owns no state and takes no lock.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one logged event.
type Line struct {
	At      time.Time `json:"at"`
	Process string    `json:"process"`
	Event   string    `json:"event"`
	// Task is empty for lines about the whole job.
	Task string `json:"task,omitempty"`
	// Inputs are the remaining fields of the log line as NAME=VALUE, sorted by
	// name.
	Inputs []string `json:"inputs"`
}

// JobTrace holds the log lines about one job.
type JobTrace struct {
	Job   string `json:"job"`
	Lines []Line `json:"lines"`
	// Dropped is the number of lines, about any job or none, that package
	// eventlog's rate limit dropped, as reported in the lines that were read.
	Dropped int `json:"leftOut"`
	// Unparsed is the number of input lines that could not be parsed as events.
	Unparsed int `json:"unread"`
}

// maxLineBytes limits the length of an input line. Read fails on a longer one.
const maxLineBytes = 1 << 20

// lineFields are the fields of a log line that Inputs leaves out, because Line or
// JobTrace has them as fields of its own or they carry no further information.
var lineFields = []string{"time", "process", "event", "msg", "level", "task", "job", "leftOut"}

// Read adds the lines about the job from one log. These are the lines whose field
// job is the job's ID, whose field task begins with the ID and a dot, or whose
// field path contains the ID. Each line may have a prefix before its JSON object,
// as log collectors add it.
func (s *JobTrace) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		s.add(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

func (s *JobTrace) add(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		s.Unparsed++
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		s.Unparsed++
		return
	}
	if n, ok := fields["leftOut"].(float64); ok {
		s.Dropped += int(n)
	}
	stringField := func(name string) string { v, _ := fields[name].(string); return v }
	if stringField("job") != s.Job && !strings.HasPrefix(stringField("task"), s.Job+".") && !strings.Contains(stringField("path"), s.Job) {
		return
	}
	at, err := time.Parse(time.RFC3339, stringField("time"))
	if err != nil {
		s.Unparsed++
		return
	}
	l := Line{At: at, Process: stringField("process"), Event: stringField("event"), Task: stringField("task")}
	for name, value := range fields {
		if !slices.Contains(lineFields, name) {
			l.Inputs = append(l.Inputs, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(l.Inputs)
	s.Lines = append(s.Lines, l)
}

// Sort sorts the lines by time and process.
func (s *JobTrace) Sort() {
	slices.SortStableFunc(s.Lines, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process))
	})
}

// WriteText writes the lines as text, each with the time since the first one. Call
// Sort first.
func (s *JobTrace) WriteText(out io.Writer) error {
	for _, l := range s.Lines {
		if _, err := fmt.Fprintf(out, "%10s  %-24s %-20s %-28s %s\n", "+"+s.sinceStart(l).String(), l.Process, l.Event, l.Task, strings.Join(l.Inputs, " ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%d lines; the rate limit dropped %d lines about any job\n", len(s.Lines), s.Dropped)
	return err
}

func (s *JobTrace) sinceStart(l Line) time.Duration { return l.At.Sub(s.Lines[0].At) }

// row is a line as the HTML page shows it.
type row struct {
	Line
	Since string
	// X and Y are the position in the diagram, in pixels.
	X, Y float64
}

const (
	pictureWidth = 900
	rowHeight    = 18
)

var page = template.Must(template.New("trace").Parse(`<!doctype html>
<meta charset="utf-8"><title>{{.Job}}</title>
<style>body{font:13px sans-serif}td{padding:1px 8px;vertical-align:top}circle{fill:#357}text{font-size:11px}</style>
<h1>Job {{.Job}}</h1>
<svg width="1300" height="{{.Height}}">{{range .Rows}}<circle cx="{{.X}}" cy="{{.Y}}" r="4"/><text x="{{.X}}" y="{{.Y}}" dx="8" dy="4">{{.Event}} {{.Process}} {{.Since}}</text>{{end}}</svg>
<table>{{range .Rows}}<tr><td>{{.Since}}<td>{{.Process}}<td>{{.Event}}<td>{{.Task}}<td>{{range .Inputs}}{{.}} {{end}}</tr>
{{end}}</table>
`))

// WriteHTML writes an HTML page with a diagram of the lines over time and a
// table of the lines. Call Sort first.
func (s *JobTrace) WriteHTML(out io.Writer) error {
	total := time.Duration(1)
	if n := len(s.Lines); n > 0 {
		total = max(total, s.sinceStart(s.Lines[n-1]))
	}
	rows := make([]row, 0, len(s.Lines))
	for i, l := range s.Lines {
		since := s.sinceStart(l)
		rows = append(rows, row{Line: l, Since: "+" + since.String(), X: 10 + pictureWidth*since.Seconds()/total.Seconds(), Y: float64(rowHeight * (i + 1))})
	}
	return page.Execute(out, map[string]any{"Job": s.Job, "Rows": rows, "Height": rowHeight * (len(rows) + 2)})
}
