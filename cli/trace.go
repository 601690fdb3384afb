package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/trace"
)

func (p *program) traceCommand() *ffcli.Command {
	fs := p.flags("trace")
	asJSON := fs.Bool("json", false, "print JSON")
	asHTML := fs.Bool("html", false, "print an HTML page with a diagram over time")
	c := command(fs, "ID [FILE ...]", "show the log lines of all processes about one job, sorted by time; without files, the logs are read from standard input", "celerypoint trace 5c0e7a21d94b36f8 edge-*.log side-*.log",
		func(_ context.Context, args []string) error {
			if len(args) == 0 || *asJSON && *asHTML {
				return usagef("arguments: found no ID, or both --json and --html; allowed: an ID, then files")
			}
			s := &trace.JobTrace{Job: args[0]}
			if err := readLogs(s, args[1:]); err != nil {
				return err
			}
			s.Sort()
			switch {
			case len(s.Lines) == 0:
				return fmt.Errorf("job %s: found no line about it; %d lines were not events", s.Job, s.Unparsed)
			case *asHTML:
				return s.WriteHTML(p.stdout)
			case *asJSON:
				return p.print(true, s, nil)
			}
			return s.WriteText(p.stdout)
		})
	c.Options = nil
	return c
}

func readLogs(s *trace.JobTrace, files []string) error {
	if len(files) == 0 {
		return s.Read(os.Stdin)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = s.Read(f)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
