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
	asJSON := fs.Bool("json", false, "print the report as one JSON object on the last line")
	onPlatform := fs.Bool("platform", false, "run the entries and agents for the users' platform against stand-ins of its store and workers")
	return command(fs, "", "run two entries and three agents in this process, submit some jobs and check their outcomes", "celerypoint demo --json | tail -n 1",
		func(ctx context.Context, args []string) error {
			if err := arguments(args); err != nil {
				return err
			}
			if *onPlatform {
				report, err := sitedemo.Run(ctx, p.stdout)
				return p.printDemoReport(*asJSON, report, err, fmt.Sprintf("%d jobs submitted, %d completed, %d tasks started, %d rules violated in %.1f s",
					report.JobsSubmitted, report.JobsCompleted, report.Starts, report.Violations, report.Seconds))
			}
			report, err := demo.Run(ctx, p.stdout)
			return p.printDemoReport(*asJSON, report, err, fmt.Sprintf("%d jobs submitted, %d complete answers, %d refusals, %d unknown outcomes in %.1f s",
				report.JobsSubmitted, report.CorrectAnswers, report.Refusals, report.UnknownOutcomes, report.Seconds))
		})
}

// printDemoReport prints the report as JSON, or else text, and returns err, the
// error of the demonstration.
func (p *program) printDemoReport(asJSON bool, report any, err error, text string) error {
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
