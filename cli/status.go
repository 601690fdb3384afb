package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/wire"
)

func (p *program) statusCommand() *ffcli.Command {
	fs := p.flags("status")
	r := remoteFlags(fs)
	return command(fs, "[job]", "show organisations and VMs, or one job",
		"celerypoint status --entry 10.20.0.1:7180",
		func(ctx context.Context, args []string) error {
			c := r.client()
			defer c.Close()
			if len(args) > 0 {
				if err := arguments(args, "job"); err != nil {
					return err
				}
				v, err := c.Job(ctx, args[0])
				if err != nil {
					return err
				}
				return p.print(r.json, v, func() { p.printJob(v) })
			}
			s, err := c.Status(ctx)
			if err != nil {
				return err
			}
			return p.print(r.json, s, func() { writeStatus(p.stdout, s, time.Now()) })
		})
}

// writeStatus writes the operator's screen.
func writeStatus(out io.Writer, s wire.StatusView, now time.Time) {
	fmt.Fprintf(out, "entry %s in zone %s, region %s; planner %s, term %d; configuration at offset %d, jobs at %d", s.Entry, s.Zone, s.Region, s.Planner, s.Term, s.ConfigOffset, s.JobsOffset)
	if s.LogDown {
		fmt.Fprint(out, "; the log is down")
	}
	fmt.Fprint(out, "\n\n")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ORGANISATION\tOWED\tUSED\tBORROWED\tWAITING\tOLDEST WAITS FOR")
	for _, o := range s.Orgs {
		name := o.Name
		if o.Unmet {
			name += " (guarantee does not fit)"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\n", name, o.Owed, o.Used, o.Borrowed, o.Waiting, dash(o.OldestWaits))
	}
	fmt.Fprintln(w, "\nVM\tZONE\tRACK\tACCELERATORS\tFREE\tSET ASIDE\tSHARES\tSTATE")
	vms := slices.Clone(s.VMs)
	slices.SortFunc(vms, func(a, b wire.VMStatus) int { return strings.Compare(a.ID, b.ID) })
	for _, v := range vms {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", v.ID, v.Zone, v.Rack, v.Accelerators, v.Free, setAside(v), shares(v.Shares), state(v, now))
	}
	_ = w.Flush()
}

// setAside counts the accelerators that are reserved and do not run yet.
func setAside(v wire.VMStatus) int {
	n := 0
	for _, h := range v.Holdings {
		if !h.Running {
			n += h.Accelerators
		}
	}
	return n
}

func shares(byOrg map[string]int) string {
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(byOrg)) {
		texts = append(texts, fmt.Sprintf("%s=%d", name, byOrg[name]))
	}
	return dash(strings.Join(texts, " "))
}

func state(v wire.VMStatus, now time.Time) string {
	var texts []string
	if v.Lost {
		texts = append(texts, fmt.Sprintf("lost, seen %s ago", now.Sub(codec.FromUnixMillis(v.SeenUnixMs)).Round(time.Second)))
	}
	if v.Draining {
		texts = append(texts, "draining")
	}
	if until := codec.FromUnixMillis(v.QuarantinedUntilUnixMs); until.After(now) {
		texts = append(texts, "quarantined until "+until.UTC().Format(time.TimeOnly))
	}
	if len(texts) == 0 {
		return "ready"
	}
	return strings.Join(texts, ", ")
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
