// Package trace puts together what many processes logged about one request, in
// the order of time, from lines that package eventlog wrote. It owns no state
// and takes no lock.
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

// Line is one logged decision.
type Line struct {
	At      time.Time `json:"at"`
	Process string    `json:"process"`
	Event   string    `json:"event"`
	// Task is empty for lines about the whole job.
	Task string `json:"task,omitempty"`
	// Inputs are the other fields of the line as NAME=VALUE, by name.
	Inputs []string `json:"inputs"`
}

// JobTrace is what was logged about one job.
type JobTrace struct {
	Job   string `json:"job"`
	Lines []Line `json:"lines"`
	// Dropped counts lines that the processes left out because of their
	// budgets, of any job.
	Dropped int `json:"leftOut"`
	// Unparsed counts lines that are no logged decision.
	Unparsed int `json:"unread"`
}

// maxLineBytes bounds a line; longer input is an error.
const maxLineBytes = 1 << 20

// known are the fields that a Line holds by itself.
var known = []string{"time", "process", "event", "msg", "level", "task", "job", "leftOut"}

// Read adds the lines of one log that concern the job. A line may have a prefix
// in front of its JSON object, as log collectors write it.
func (s *JobTrace) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		s.add(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("log: %w", err)
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
	word := func(name string) string { v, _ := fields[name].(string); return v }
	if word("job") != s.Job && !strings.HasPrefix(word("task"), s.Job+".") && !strings.Contains(word("path"), s.Job) {
		return
	}
	at, err := time.Parse(time.RFC3339, word("time"))
	if err != nil {
		s.Unparsed++
		return
	}
	l := Line{At: at, Process: word("process"), Event: word("event"), Task: word("task")}
	for name, value := range fields {
		if !slices.Contains(known, name) {
			l.Inputs = append(l.Inputs, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(l.Inputs)
	s.Lines = append(s.Lines, l)
}

// Sort puts the lines in the order of time.
func (s *JobTrace) Sort() {
	slices.SortStableFunc(s.Lines, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process))
	})
}

// WriteText writes the story with the time since its first line.
func (s *JobTrace) WriteText(out io.Writer) error {
	for _, l := range s.Lines {
		if _, err := fmt.Fprintf(out, "%10s  %-24s %-20s %-28s %s\n", "+"+s.since(l).String(), l.Process, l.Event, l.Task, strings.Join(l.Inputs, " ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%d lines; %d lines of any job were left out by their budgets\n", len(s.Lines), s.Dropped)
	return err
}

func (s *JobTrace) since(l Line) time.Duration { return l.At.Sub(s.Lines[0].At) }

// row is a line of the page's picture.
type row struct {
	Line
	Since string
	// X and Y are its place in the picture, in pixels.
	X, Y float64
}

const (
	pictureWidth = 900
	rowHeight    = 18
)

var page = template.Must(template.New("story").Parse(`<!doctype html>
<meta charset="utf-8"><title>{{.Job}}</title>
<style>body{font:13px sans-serif}td{padding:1px 8px;vertical-align:top}circle{fill:#357}text{font-size:11px}</style>
<h1>Job {{.Job}}</h1>
<svg width="1300" height="{{.Height}}">{{range .Rows}}<circle cx="{{.X}}" cy="{{.Y}}" r="4"/><text x="{{.X}}" y="{{.Y}}" dx="8" dy="4">{{.Event}} {{.Process}} {{.Since}}</text>{{end}}</svg>
<table>{{range .Rows}}<tr><td>{{.Since}}<td>{{.Process}}<td>{{.Event}}<td>{{.Task}}<td>{{range .Inputs}}{{.}} {{end}}</tr>
{{end}}</table>
`))

// WriteHTML writes a page with the time line as a picture and the lines as a
// table.
func (s *JobTrace) WriteHTML(out io.Writer) error {
	total := time.Duration(1)
	if n := len(s.Lines); n > 0 {
		total = max(total, s.since(s.Lines[n-1]))
	}
	rows := make([]row, 0, len(s.Lines))
	for i, l := range s.Lines {
		since := s.since(l)
		rows = append(rows, row{Line: l, Since: "+" + since.String(), X: 10 + pictureWidth*since.Seconds()/total.Seconds(), Y: float64(rowHeight * (i + 1))})
	}
	return page.Execute(out, map[string]any{"Job": s.Job, "Rows": rows, "Height": rowHeight * (len(rows) + 2)})
}
