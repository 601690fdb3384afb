package cli

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/wire"
)

func (p *program) submitCommand() *ffcli.Command {
	fs := p.flags("submit")
	r := remoteFlags(fs)
	var s wire.SubmitRequest
	var labels, payloadFile, answerFile string
	var deadline, declared, wait time.Duration
	fs.StringVar(&s.Org, "org", "", "organisation that the job belongs to")
	fs.StringVar(&labels, "labels", "", "labels of the job, `KEY=VALUE[,KEY=VALUE]`")
	fs.StringVar(&s.Selector, "selector", "", "which VMs the job may use, such as zone=a,kind in (x|y)")
	fs.IntVar(&s.Tasks, "tasks", 1, "number of tasks, which run together or not at all")
	fs.IntVar(&s.AcceleratorsPerTask, "accelerators", 0, "accelerators of each task")
	fs.StringVar(&s.Adjacency, "adjacency", "region", "how near the tasks must be: vm, rack, zone, region")
	fs.StringVar(&s.Urgency, "urgency", "normal", "lane of the job: urgent, normal, batch")
	fs.DurationVar(&deadline, "deadline", 0, "time from now after which the answer is not wanted; 0 for none")
	fs.BoolVar(&s.Idempotent, "idempotent", false, "running the job twice does no harm")
	fs.StringVar(&s.IdempotencyKey, "key", "", "idempotency key; required without --idempotent")
	fs.BoolVar(&s.Preemptible, "preemptible", false, "the job may be stopped and started again, and may borrow")
	fs.DurationVar(&declared, "declared-run", 0, "expected run time; 0 when not known")
	fs.StringVar(&s.Payload, "payload", "", "payload text")
	fs.StringVar(&payloadFile, "payload-file", "", "file with the payload")
	fs.DurationVar(&wait, "wait", 0, "how long to wait for the end; 0 prints the accepted job at once")
	fs.StringVar(&answerFile, "answer-file", "", "file for the answer, - for standard output; needs --wait")
	return command(fs, "", "submit a job, and wait for its answer if asked to",
		`celerypoint submit --entry 10.20.0.1:7180 --org cairn --tasks 2 --accelerators 8 --adjacency rack --idempotent --payload '{"runMs":500}' --wait 1m`,
		func(ctx context.Context, args []string) error {
			if err := arguments(args); err != nil {
				return err
			}
			var err error
			if s.Labels, err = pairs("labels", splitList(labels)); err != nil {
				return err
			}
			if s.Org == "" {
				return usagef("--org: found none, allowed: the name of an organisation")
			}
			if answerFile != "" && wait <= 0 {
				return usagef("--answer-file: found without --wait, allowed: with --wait above 0")
			}
			if payloadFile != "" {
				if s.Payload != "" {
					return usagef("--payload-file: found together with --payload, allowed: one of the two")
				}
				data, err := os.ReadFile(payloadFile)
				if err != nil {
					return fmt.Errorf("payload: %w", err)
				}
				s.PayloadBase64 = wire.Text(data)
			}
			if deadline > 0 {
				s.DeadlineUnixMs = codec.UnixMillis(time.Now().Add(deadline))
			}
			s.DeclaredRunMs = int(declared.Milliseconds())
			return p.submit(ctx, r, s, wait, answerFile)
		})
}

func (p *program) submit(ctx context.Context, r *remote, s wire.SubmitRequest, wait time.Duration, answerFile string) error {
	c := r.client()
	defer c.Close()
	v, err := c.Submit(ctx, s, wait)
	if err != nil {
		return err
	}
	if answerFile != "" && v.Outcome != nil && v.Outcome.Kind == wire.OutcomeKindAnswer {
		body, err := c.Answer(ctx, v)
		if err != nil {
			return err
		}
		if answerFile == "-" {
			_, err = p.stdout.Write(body)
		} else {
			err = os.WriteFile(answerFile, body, 0o644)
		}
		if err != nil || answerFile == "-" {
			return err
		}
	}
	if err := p.print(r.json, v, func() { p.printJob(v) }); err != nil {
		return err
	}
	return failed(v)
}

// failed is the error of a job that ended without an answer.
func failed(v wire.JobView) error {
	if v.Outcome == nil || v.Outcome.Kind == wire.OutcomeKindAnswer {
		return nil
	}
	return fmt.Errorf("job %s ended with %s: %s", v.ID, v.Outcome.Kind, reasonOf(*v.Outcome))
}

func reasonOf(o wire.Outcome) string {
	if o.Rule != "" {
		return o.Rule + ": " + o.Reason
	}
	return o.Reason
}

func (p *program) printJob(v wire.JobView) {
	fmt.Fprintf(p.stdout, "job %s of %s: %s", v.ID, v.Org, v.Phase)
	if len(v.VMs) > 0 {
		fmt.Fprintf(p.stdout, " on %s", strings.Join(v.VMs, ", "))
	}
	if v.WaitsFor != "" {
		fmt.Fprintf(p.stdout, ", waits for %s", v.WaitsFor)
	}
	if o := v.Outcome; o != nil {
		fmt.Fprintf(p.stdout, ", outcome %s", o.Kind)
		if o.Kind == wire.OutcomeKindAnswer {
			fmt.Fprintf(p.stdout, " of %d bytes, checksum %s", o.Length, o.Checksum)
		} else {
			fmt.Fprintf(p.stdout, " (%s)", reasonOf(*o))
		}
	}
	fmt.Fprintln(p.stdout)
}

func (p *program) cancelCommand() *ffcli.Command {
	fs := p.flags("cancel")
	r := remoteFlags(fs)
	return command(fs, "<job>", "cancel a job",
		"celerypoint cancel --entry 10.20.0.1:7180 JOB",
		func(ctx context.Context, args []string) error {
			if err := arguments(args, "job"); err != nil {
				return err
			}
			c := r.client()
			defer c.Close()
			v, err := c.Cancel(ctx, args[0])
			if err != nil {
				return err
			}
			return p.print(r.json, v, func() { p.printJob(v) })
		})
}
