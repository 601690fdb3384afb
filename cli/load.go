package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/caller"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/embedded"
	"celerypoint.example/celerypoint/entryhttp"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/load"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/placement"
	"celerypoint.example/celerypoint/wire"
)

// embeddedVMs is the number of VMs of the embedded system, which is the whole
// system in this process. The users' deployments on which the profiles are modelled
// have this size.
const embeddedVMs = 11

// loadOptions holds the flags of the command load.
type loadOptions struct {
	remote          *remote
	seeds, policies string
	report          string
}

func (p *program) loadCommand() *ffcli.Command {
	fs := p.flags("load")
	o := &loadOptions{remote: remoteFlags(fs)}
	fs.Lookup("entry").DefValue = ""
	o.remote.entries = ""
	fs.StringVar(&o.seeds, "seeds", "1", "seeds of the random requests, `SEED[,SEED]`; one run for each")
	fs.StringVar(&o.policies, "policies", "adjacent", "placement policies, `POLICY[,POLICY]`; one run for each; with --entry, only the name in the report")
	fs.StringVar(&o.report, "report", "", "write an HTML page with plots to this `FILE`")
	return command(fs, "[profile]", "send the requests of a profile to a running system or, without --entry, to one in this process; or list the profiles",
		"celerypoint load --seeds 1,2,3 --policies baseline,adjacent --report dawn.html dawn",
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
			return p.load(ctx, profile, o)
		})
}

// load runs the profile once for each combination of seed and policy.
func (p *program) load(ctx context.Context, profile load.Profile, o *loadOptions) error {
	var reports []load.Report
	wrongAnswers := 0
	for seedText := range strings.SplitSeq(o.seeds, ",") {
		seed, err := strconv.ParseUint(strings.TrimSpace(seedText), 10, 64)
		if err != nil {
			return usageError{fmt.Errorf("--seeds: found %q, allowed: numbers from 0 on, separated by commas", o.seeds)}
		}
		for policy := range strings.SplitSeq(o.policies, ",") {
			report, err := runProfile(ctx, profile, seed, strings.TrimSpace(policy), o.remote)
			if err != nil {
				return err
			}
			reports = append(reports, report)
			wrongAnswers += report.WrongAnswers()
			if !o.remote.json {
				fmt.Fprintln(p.stdout, report.Text())
			}
		}
	}
	if o.report != "" {
		if err := writePage(o.report, load.Page{Title: profile.Title, Reports: reports}); err != nil {
			return err
		}
	}
	if err := p.print(o.remote.json, reports, func() {}); err != nil {
		return err
	}
	if wrongAnswers > 0 {
		return fmt.Errorf("load: %d answers differ from the expected ones", wrongAnswers)
	}
	return nil
}

func writePage(path string, page load.Page) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("load: report: %w", err)
	}
	return errors.Join(page.Write(f), f.Close())
}

func runProfile(ctx context.Context, profile load.Profile, seed uint64, policy string, r *remote) (load.Report, error) {
	if r.entries == "" {
		return runEmbedded(ctx, profile, seed, placement.Policy(policy))
	}
	if err := putOrgs(ctx, r, profile); err != nil {
		return load.Report{}, err
	}
	targets, closeAll := r.targets()
	defer closeAll()
	run, err := load.RunProfile(ctx, profile, seed, targets)
	if err != nil {
		return load.Report{}, err
	}
	return run.Report(policy), nil
}

// runEmbedded runs the profile on a new system in this process.
func runEmbedded(ctx context.Context, profile load.Profile, seed uint64, policy placement.Policy) (load.Report, error) {
	if policy != placement.PolicyBaseline && policy != placement.PolicyAdjacent {
		return load.Report{}, usageError{fmt.Errorf("--policies: found %q, allowed: baseline, adjacent", policy)}
	}
	ctx, cancel := context.WithTimeout(ctx, 2*profile.Timeout())
	defer cancel()
	system, err := embedded.Start(ctx, embedded.Config{VMs: embeddedVMs, Zones: profile.Zones, Placement: policy})
	if err != nil {
		return load.Report{}, err
	}
	defer system.Kill()
	for _, o := range profile.Orgs {
		if err := system.PutOrg(ctx, o); err != nil {
			return load.Report{}, err
		}
	}
	var targets []load.Target
	for _, e := range system.Entries {
		targets = append(targets, e)
	}
	run, err := load.RunProfile(ctx, profile, seed, targets)
	if err != nil {
		return load.Report{}, err
	}
	return run.Report(string(policy)), nil
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
		object, wo := "org/"+o.Name, codec.EncodeOrg(o)
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

// targets returns one target for each entry and a function that closes them. A
// target uses the other entries as fallbacks.
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

// replyTimeout is how long after the end of the requested wait an entry may take
// to respond.
const replyTimeout = 5 * time.Second

// target implements load.Target with the HTTP client of an entry.
type target struct{ client *entryhttp.Client }

// Submit implements load.Target. It returns a refusal as the outcome of the job,
// not as an error.
func (t target) Submit(ctx context.Context, j job.Job) (job.View, error) {
	w, err := t.client.Submit(ctx, caller.EncodeRequest(j), 0)
	var refusal *entryhttp.Error
	if errors.As(err, &refusal) && refusal.Rule != "" {
		return job.View{Org: j.Org, Phase: job.PhaseEnded, Outcome: outcome.NotRun{Rule: refusal.Rule, Reason: refusal.Message}}, nil
	}
	if err != nil {
		return job.View{}, err
	}
	return codec.DecodeJobView(w)
}

// Wait implements load.Target. It waits until the deadline of ctx at the latest.
// If ctx has no deadline or has ended, it returns the current state of the job.
func (t target) Wait(ctx context.Context, id string) (job.View, bool, error) {
	wait := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		wait = max(0, time.Until(deadline))
	}
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait+replyTimeout)
	defer cancel()
	w, err := t.client.Wait(requestCtx, id, wait)
	if err != nil {
		return job.View{}, false, err
	}
	v, err := codec.DecodeJobView(w)
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
	v, err := codec.DecodeJobView(w)
	if err != nil {
		return nil, outcome.Answer{}, err
	}
	a, _ := v.Outcome.(outcome.Answer)
	return body, a, nil
}

// Status implements load.Target.
func (t target) Status(ctx context.Context) (wire.StatusView, error) { return t.client.Status(ctx) }
