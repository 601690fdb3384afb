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
	job := fs.String("job", "", "events of this job only")
	org := fs.String("org", "", "events of this organisation only")
	vm := fs.String("vm", "", "events of this VM only")
	return command(fs, "", "show the newest events of all processes in one order", "celerypoint timeline --job JOB",
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", at, e.Process, e.Kind, dash(e.Org), dash(e.VM), dash(e.Job), e.Detail)
	}
	_ = w.Flush()
}
