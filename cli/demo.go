package cli

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/demo"
	"celerypoint.example/celerypoint/sitedemo"
)

func (p *program) demoCommand() *ffcli.Command {
	fs := p.flags("demo")
	asJSON := fs.Bool("json", false, "end with one JSON object on a line of its own")
	onPlatform := fs.Bool("platform", false, "run the roles of the users' platform against stand-ins of its store and workers")
	return command(fs, "", "run two entries and three VMs in this process, and check what becomes of some jobs", "celerypoint demo --json | tail -n 1",
		func(ctx context.Context, args []string) error {
			if err := arguments(args); err != nil {
				return err
			}
			if *onPlatform {
				report, err := sitedemo.Run(ctx, p.stdout)
				return p.demoEnd(*asJSON, report, err, fmt.Sprintf("%d jobs asked, %d completed, %d tasks started, %d rules broken in %.1f s",
					report.JobsSubmitted, report.JobsCompleted, report.Starts, report.Violations, report.Seconds))
			}
			report, err := demo.Run(ctx, p.stdout)
			return p.demoEnd(*asJSON, report, err, fmt.Sprintf("%d jobs asked, %d whole answers, %d refusals, %d unknown outcomes in %.1f s",
				report.JobsSubmitted, report.CorrectAnswers, report.Refusals, report.UnknownOutcomes, report.Seconds))
		})
}

// demoEnd prints a report, and returns the demonstration's own error if it has
// one.
func (p *program) demoEnd(asJSON bool, report any, err error, text string) error {
	if !asJSON {
		fmt.Fprintln(p.stdout, text)
		return err
	}
	line, encodeErr := json.Marshal(report)
	if encodeErr != nil {
		return fmt.Errorf("demo: %w", encodeErr)
	}
	fmt.Fprintln(p.stdout, string(line))
	return err
}
