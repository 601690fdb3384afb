package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/wire"
)

func (p *program) siteNeighboursCommand() *ffcli.Command {
	fs := p.flags("site neighbours")
	entries := fs.String("entry", "", "`IP:PORT,...` of the metrics of entries; the first that plans answers")
	asJSON := fs.Bool("json", false, "print JSON")
	return command(fs, "", "list the kinds of tasks that are kept apart on VMs, since when, and on what evidence", "celerypoint site neighbours --entry 10.1.0.19:7001,10.2.0.19:7001",
		func(ctx context.Context, args []string) error {
			if err := arguments(args); err != nil {
				return err
			}
			if *entries == "" {
				return usagef("flags: --entry is required")
			}
			question := plannerQuestion{Method: http.MethodGet, Path: neighboursPath}
			view, err := askPlanner(ctx, strings.Split(*entries, ","), question, func(v wire.NeighbourView) string { return v.Planner })
			if err != nil {
				return err
			}
			return p.print(*asJSON, view, func() { writeNeighbours(p.stdout, view) })
		})
}

// writeNeighbours writes the operator's decisions and then what the planner has found.
func writeNeighbours(out io.Writer, view wire.NeighbourView) {
	fmt.Fprintf(out, "planner %s\n", view.Planner)
	if !view.Separated {
		fmt.Fprintln(out, "tasks are not kept apart: [planning] neighbours = ignored")
		return
	}
	for _, o := range view.Overrides {
		fmt.Fprintf(out, "set by the operator: %s: %s\n", o.Decision, strings.Join(o.Kinds, " + "))
	}
	if len(view.Found) == 0 {
		fmt.Fprintln(out, "no kind is known to slow another down")
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SLOWED\tBY\tFACTOR\tKNOWN FOR\tBESIDE\tALONE\tSTANDARD ERRORS\tSET")
	for _, f := range view.Found {
		age := time.Duration(f.AgeMs) * time.Millisecond
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%s\t%d\t%d\t%.1f\t%s\n", f.Slowed, f.By, float64(f.FactorPercent)/100, age.Round(time.Second), f.Beside, f.Alone, float64(f.StandardErrorsTenths)/10, orDash(f.Override))
	}
	_ = w.Flush()
}
