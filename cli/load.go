package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/caller"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/entryhttp"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/load"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/wire"
)

func (p *program) loadCommand() *ffcli.Command {
	fs := p.flags("load")
	r := remoteFlags(fs)
	seed := fs.Uint64("seed", 1, "seed of the requests")
	policy := fs.String("policy", "adjacent", "placement policy of the entries, which the report names")
	return command(fs, "[profile]", "put a profile's organisations and send its requests to VMs with stand-in runtimes, or list the profiles",
		"celerypoint load --entry 127.0.0.1:7180,127.0.0.1:7181 dawn",
		func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				listProfiles(p.stdout)
				return nil
			}
			if err := arguments(args, "profile"); err != nil {
				return err
			}
			profile, err := load.Find(args[0])
			if err != nil {
				return usageError{err}
			}
			if err := putOrgs(ctx, r, profile); err != nil {
				return err
			}
			targets, closeAll := r.targets()
			defer closeAll()
			run, err := load.Do(ctx, profile, *seed, targets)
			if err != nil {
				return err
			}
			report := run.Report(*policy)
			if err := p.print(r.json, report, func() { fmt.Fprint(p.stdout, report.Text()) }); err != nil {
				return err
			}
			if n := report.Wrong(); n > 0 {
				return fmt.Errorf("load: %d answers are wrong", n)
			}
			return nil
		})
}

func listProfiles(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, profile := range load.Profiles() {
		fmt.Fprintf(w, "%s\t%s\n", profile.Name, profile.Title)
	}
	_ = w.Flush()
}

// putOrgs creates or replaces the organisations of a profile.
func putOrgs(ctx context.Context, r *remote, profile load.Profile) error {
	client := r.client()
	defer client.Close()
	for _, o := range profile.Orgs {
		object, wo := "org/"+o.Name, codec.OrgTo(o)
		version, err := versionOf(ctx, client, object)
		if err != nil {
			return err
		}
		if _, err := client.Change(ctx, wire.ConfigChange{Kind: wire.ConfigKindPutOrg, Object: object, BasedOn: version, Org: &wo}); err != nil {
			return fmt.Errorf("organisation %s: %w", o.Name, err)
		}
	}
	return nil
}

// targets gives one target for each entry; each falls back on the others.
func (r *remote) targets() ([]load.Target, func()) {
	addresses := r.addresses()
	var targets []load.Target
	var clients []*entryhttp.Client
	for i := range addresses {
		c := entryhttp.New(append(append([]string{}, addresses[i:]...), addresses[:i]...)...)
		clients, targets = append(clients, c), append(targets, target{c})
	}
	return targets, func() {
		for _, c := range clients {
			c.Close()
		}
	}
}

// replyTimeout bounds the time of an entry to reply after a wait.
const replyTimeout = 5 * time.Second

// target translates between package load and the HTTP client.
type target struct{ client *entryhttp.Client }

// Submit implements load.Target. A refusal is an outcome.
func (t target) Submit(ctx context.Context, j job.Job) (job.View, error) {
	w, err := t.client.Submit(ctx, caller.RequestTo(j), 0)
	var refusal *entryhttp.Error
	if errors.As(err, &refusal) && refusal.Rule != "" {
		return job.View{Org: j.Org, Phase: job.PhaseEnded, Outcome: outcome.NotRun{Rule: refusal.Rule, Reason: refusal.Message}}, nil
	}
	if err != nil {
		return job.View{}, err
	}
	return caller.ViewFrom(w)
}

// Wait implements load.Target: it waits until the deadline of ctx, and asks
// once more when ctx has ended.
func (t target) Wait(ctx context.Context, id string) (job.View, bool, error) {
	wait := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		wait = max(0, time.Until(deadline))
	}
	asking, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait+replyTimeout)
	defer cancel()
	w, err := t.client.Wait(asking, id, wait)
	if err != nil {
		return job.View{}, false, err
	}
	v, err := caller.ViewFrom(w)
	return v, true, err
}

// Answer implements load.Target.
func (t target) Answer(ctx context.Context, id string) ([]byte, outcome.Answer, error) {
	w, err := t.client.Job(ctx, id)
	if err != nil {
		return nil, outcome.Answer{}, err
	}
	body, err := t.client.Answer(ctx, w)
	if err != nil {
		return nil, outcome.Answer{}, err
	}
	v, err := caller.ViewFrom(w)
	if err != nil {
		return nil, outcome.Answer{}, err
	}
	a, _ := v.Outcome.(outcome.Answer)
	return body, a, nil
}

// Status implements load.Target.
func (t target) Status(ctx context.Context) (wire.StatusView, error) { return t.client.Status(ctx) }
