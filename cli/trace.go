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
	asHTML := fs.Bool("html", false, "print a page with the time line as a picture")
	c := command(fs, "ID [FILE ...]", "tell the story of one job from the logs of many processes; without files from standard input", "celerypoint trace 5c0e7a21d94b36f8 edge-*.log side-*.log",
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
				return fmt.Errorf("job %s: found no line, %d lines were no logged decision", s.Job, s.Unparsed)
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
