package cli

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/demo"
)

func (p *program) demoCommand() *ffcli.Command {
	fs := p.flags("demo")
	asJSON := fs.Bool("json", false, "end with one JSON object on a line of its own")
	return command(fs, "", "run two entries and three VMs in this process, and check the answers of some jobs", "celerypoint demo --json | tail -n 1",
		func(ctx context.Context, args []string) error {
			if err := arguments(args); err != nil {
				return err
			}
			report, err := demo.Run(ctx, p.stdout)
			if !*asJSON {
				fmt.Fprintf(p.stdout, "%d jobs asked, %d whole answers, %d refusals, %d unknown outcomes in %.1f s\n",
					report.JobsAsked, report.WholeAnswers, report.Refusals, report.UnknownOutcomes, report.Seconds)
				return err
			}
			line, encodeErr := json.Marshal(report)
			if encodeErr != nil {
				return fmt.Errorf("demo: %w", encodeErr)
			}
			fmt.Fprintln(p.stdout, string(line))
			return err
		})
}
