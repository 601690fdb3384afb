package cli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/balancer"
	"celerypoint.example/celerypoint/platform"
	"celerypoint.example/celerypoint/stepentry"
	"celerypoint.example/celerypoint/wire"
)

const (
	// explainPath is where an entry explains placements, at the address of its metrics.
	explainPath = "/explain"
	// neighboursPath is where it lists the kinds of tasks that are kept apart.
	neighboursPath = "/neighbours"
)

// internalHandler serves the metrics of an entry and what an operator asks its planner.
func internalHandler(d *stepentry.Daemon) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(explainPath, platform.ExplainHandler(d))
	mux.Handle(neighboursPath, platform.NeighboursHandler(d))
	mux.Handle("/", balancer.Metrics(d.Metrics()))
	return mux
}

func (p *program) siteExplainCommand() *ffcli.Command {
	fs := p.flags("site explain")
	entries := fs.String("entry", "", "`IP:PORT,...` of the metrics of entries; the first that plans answers")
	queue := fs.String("queue", "", "`NAME` of the job's queue")
	org := fs.String("org", "", "`NAME` of the job's organisation")
	job := fs.String("job", "", "`ID` of an accepted job, in place of a file")
	asJSON := fs.Bool("json", false, "print JSON")
	return command(fs, "[job.json]", "tell where the waiting tasks of a job would go now, and why; a job from a file is not handed in", "celerypoint site explain --entry 10.1.0.19:7001 --queue checks job.json",
		func(ctx context.Context, args []string) error {
			question := plannerQuestion{Method: http.MethodGet, Path: explainPath, Query: url.Values{"job": {*job}}}
			switch {
			case *entries == "":
				return usagef("flags: --entry is required")
			case *job != "" && (len(args) > 0 || *queue != "" || *org != ""):
				return usagef("arguments: found --job with a file, --queue or --org, allowed: --job alone")
			case *job == "":
				if err := arguments(args, "job.json"); err != nil {
					return err
				}
				if *queue == "" {
					return usagef("flags: --queue is required with a file")
				}
				body, err := os.ReadFile(args[0])
				if err != nil {
					return fmt.Errorf("job: %w", err)
				}
				question = plannerQuestion{Method: http.MethodPost, Path: explainPath, Query: url.Values{"queue": {*queue}, "org": {*org}}, Body: body}
			}
			view, err := askPlanner(ctx, strings.Split(*entries, ","), question, func(v wire.PlacementView) string { return v.Planner })
			if err != nil {
				return err
			}
			return p.print(*asJSON, view, func() { writePlacement(p.stdout, view) })
		})
}

// writePlacement writes each unit with its tasks, and the VMs that it cannot run on.
func writePlacement(out io.Writer, view wire.PlacementView) {
	fmt.Fprintf(out, "planner %s\n", view.Planner)
	if view.Job != "" {
		fmt.Fprintf(out, "job %s: %s, tasks that run: %d\n", view.Job, view.Phase, view.Running)
	}
	if view.AheadCount > 0 {
		fmt.Fprintf(out, "units that wait before it: %d\n", view.AheadCount)
	}
	for _, a := range view.Ahead {
		fmt.Fprintf(out, "  job %s step %d, tasks: %d, accelerators: %d\n", a.Job, a.Step, a.Tasks, a.Gpus)
	}
	for _, u := range view.Units {
		fmt.Fprintf(out, "\nstep %d %s: %s\n", u.Step, u.Verdict, u.Reason)
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		for _, t := range u.Tasks {
			fmt.Fprintf(w, "  task %d\t%s\t%s\t%s\n", t.Index, cmp.Or(t.VM, "-"), cmp.Or(t.Rack, "-"), formatPace(t.PacePercent))
		}
		_ = w.Flush()
		if len(u.Stopped) > 0 {
			fmt.Fprintf(out, "  stops %s\n", strings.Join(u.Stopped, ", "))
		}
		for _, e := range u.ExcludedVMs {
			fmt.Fprintf(out, "  %d VMs: %s\n", e.VMs, e.Reason)
		}
	}
}

func formatPace(percent int) string {
	if percent == 0 {
		return "pace unknown"
	}
	return fmt.Sprintf("pace %d %%", percent)
}
