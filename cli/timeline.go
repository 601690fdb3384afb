package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/wire"
)

func (p *program) timelineCommand() *ffcli.Command {
	fs := p.flags("timeline")
	r := remoteFlags(fs)
	job := fs.String("job", "", "show only events of this job")
	org := fs.String("org", "", "show only events of this organisation")
	vm := fs.String("vm", "", "show only events of this VM")
	return command(fs, "", "show the most recent events of all processes, sorted by time", "celerypoint timeline --job JOB",
		func(ctx context.Context, args []string) error {
			if err := arguments(args); err != nil {
				return err
			}
			c := r.client()
			defer c.Close()
			events, err := c.Timeline(ctx, *job, *org, *vm)
			if err != nil {
				return err
			}
			return p.print(r.json, events, func() { writeEvents(p.stdout, events.Events) })
		})
}

func writeEvents(out io.Writer, events []wire.Event) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tPROCESS\tEVENT\tORGANISATION\tVM\tJOB\tDETAIL")
	for _, e := range events {
		at := time.UnixMicro(int64(e.AtUnixUs)).UTC().Format("15:04:05.000")
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", at, e.Process, e.Kind, orDash(e.Org), orDash(e.VM), orDash(e.Job), e.Detail)
	}
	_ = w.Flush()
}
