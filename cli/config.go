package cli

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/entryhttp"
	"celerypoint.example/celerypoint/wire"
)

// basedOnFlag adds the flag --based-on to a command that changes an object of the
// configuration, such as an organisation.
func basedOnFlag(fs *flag.FlagSet) *int {
	return fs.Int("based-on", -1, "version of the object on which the change is based; -1 reads the current version, so that earlier changes by others are overwritten")
}

// change sends one change of the configuration. If c.BasedOn is negative, it
// replaces it by the object's current version.
func (p *program) change(ctx context.Context, r *remote, c wire.ConfigChange) error {
	client := r.client()
	defer client.Close()
	if c.BasedOn < 0 {
		version, err := versionOf(ctx, client, c.Object)
		if err != nil {
			return err
		}
		c.BasedOn = version
	}
	accepted, err := client.Change(ctx, c)
	if err != nil {
		return err
	}
	return p.print(r.json, accepted, func() { fmt.Fprintf(p.stdout, "%s: version %d\n", c.Object, accepted.Version) })
}

// versionOf returns the object's current version, or 0 if it never existed. It
// also searches the history, because a deleted object keeps its version but is no
// longer listed.
func versionOf(ctx context.Context, client *entryhttp.Client, object string) (int, error) {
	v, err := client.Config(ctx, 0)
	if err != nil {
		return 0, err
	}
	version := 0
	for _, h := range v.History {
		if h.Object == object && h.Accepted {
			version = max(version, h.Offset)
		}
	}
	for _, o := range v.Objects {
		if o.Object == object {
			version = max(version, o.Version)
		}
	}
	return version, nil
}

func (p *program) orgCommand() *ffcli.Command {
	return p.group("org", "put, delete and list organisations", p.orgPutCommand(), p.orgDeleteCommand(), p.orgListCommand())
}

func (p *program) orgPutCommand() *ffcli.Command {
	fs := p.flags("org put")
	r, basedOn := remoteFlags(fs), basedOnFlag(fs)
	o := &wire.Org{}
	var labels string
	fs.IntVar(&o.Guarantee.VMs, "vms", 0, "VMs of the guaranteed shape; 0 guarantees nothing")
	fs.IntVar(&o.Guarantee.AcceleratorsPerVM, "accelerators", 0, "accelerators on each of these VMs")
	fs.StringVar(&o.Guarantee.Adjacency, "adjacency", "region", "domain that must contain all these VMs: vm, rack, zone, region")
	fs.StringVar(&o.Selector, "selector", "", "selector of the VMs that may hold the guaranteed shape")
	fs.IntVar(&o.ShedRank, "shed-rank", 0, "requests of organisations with the highest rank are refused first under overload")
	fs.StringVar(&labels, "labels", "", "labels, `KEY=VALUE[,KEY=VALUE]`")
	return command(fs, "<name>", "create or replace an organisation",
		"celerypoint org put --vms 2 --accelerators 8 --adjacency rack cairn",
		func(ctx context.Context, args []string) error {
			err := arguments(args, "name")
			if err != nil {
				return err
			}
			if o.Labels, err = parsePairs("labels", splitList(labels)); err != nil {
				return err
			}
			o.Name = args[0]
			return p.change(ctx, r, wire.ConfigChange{Kind: wire.ConfigKindPutOrg, Object: "org/" + o.Name, BasedOn: *basedOn, Org: o})
		})
}

func (p *program) orgDeleteCommand() *ffcli.Command {
	fs := p.flags("org delete")
	r, basedOn := remoteFlags(fs), basedOnFlag(fs)
	return command(fs, "<name>", "delete an organisation", "celerypoint org delete cairn",
		func(ctx context.Context, args []string) error {
			if err := arguments(args, "name"); err != nil {
				return err
			}
			return p.change(ctx, r, wire.ConfigChange{Kind: wire.ConfigKindDeleteOrg, Object: "org/" + args[0], BasedOn: *basedOn})
		})
}

func (p *program) orgListCommand() *ffcli.Command {
	fs := p.flags("org list")
	r := remoteFlags(fs)
	return command(fs, "", "list organisations", "celerypoint org list --json",
		func(ctx context.Context, args []string) error {
			if err := arguments(args); err != nil {
				return err
			}
			return p.listObjects(ctx, r, "org/")
		})
}

func (p *program) labelCommand() *ffcli.Command {
	fs := p.flags("label")
	r, basedOn := remoteFlags(fs), basedOnFlag(fs)
	return command(fs, "<vm> [KEY=VALUE ...]", "replace the labels that operators have set on a VM", "celerypoint label worker-01 kind=camera site=quito",
		func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return arguments(args, "vm")
			}
			if err := arguments(args[:1], "vm"); err != nil {
				return err
			}
			labels, err := parsePairs("label", args[1:])
			if err != nil {
				return err
			}
			return p.change(ctx, r, wire.ConfigChange{Kind: wire.ConfigKindPutLabels, Object: "vm/" + args[0], BasedOn: *basedOn, Labels: labels})
		})
}

func (p *program) configCommand() *ffcli.Command {
	return p.group("config", "show the configuration and its history", p.configShowCommand(), p.configHistoryCommand())
}

func (p *program) configShowCommand() *ffcli.Command {
	fs := p.flags("config show")
	r := remoteFlags(fs)
	return command(fs, "", "show the configuration that an entry applies", "celerypoint config show --json",
		func(ctx context.Context, args []string) error {
			if err := arguments(args); err != nil {
				return err
			}
			return p.listObjects(ctx, r, "")
		})
}

// listObjects prints the objects of the configuration whose names start with
// prefix.
func (p *program) listObjects(ctx context.Context, r *remote, prefix string) error {
	c := r.client()
	defer c.Close()
	v, err := c.Config(ctx, -1)
	if err != nil {
		return err
	}
	v.Objects = slices.DeleteFunc(v.Objects, func(o wire.ConfigObject) bool { return !strings.HasPrefix(o.Object, prefix) })
	return p.print(r.json, v, func() {
		fmt.Fprintf(p.stdout, "configuration at offset %d\n", v.Offset)
		w := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "OBJECT\tVERSION\tVALUE")
		for _, o := range v.Objects {
			fmt.Fprintf(w, "%s\t%d\t%s\n", o.Object, o.Version, describeObject(o))
		}
		_ = w.Flush()
	})
}

func describeObject(o wire.ConfigObject) string {
	switch {
	case o.Org != nil:
		g := o.Org.Guarantee
		text := "guaranteed nothing"
		if g.VMs > 0 {
			text = fmt.Sprintf("guaranteed %d VMs with %d accelerators each in one %s", g.VMs, g.AcceleratorsPerVM, g.Adjacency)
		}
		if o.Org.Selector != "" {
			text += ", VMs " + o.Org.Selector
		}
		if o.Org.ShedRank != 0 {
			text += fmt.Sprintf(", shed rank %d", o.Org.ShedRank)
		}
		return text + labelText(o.Org.Labels)
	case o.Assignment != nil:
		text := "shares of " + orDash(strings.Join(slices.Sorted(maps.Keys(o.Assignment.Shares)), ", "))
		if len(o.Assignment.Unmet) > 0 {
			text += ", does not fit: " + strings.Join(o.Assignment.Unmet, ", ")
		}
		return text
	case strings.HasPrefix(o.Object, "drain/"):
		return fmt.Sprintf("draining=%t", o.Draining)
	default:
		return "labels" + labelText(o.Labels)
	}
}

func labelText(labels map[string]string) string {
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		fmt.Fprintf(&text, " %s=%s", key, labels[key])
	}
	return text.String()
}

func (p *program) configHistoryCommand() *ffcli.Command {
	fs := p.flags("config history")
	r := remoteFlags(fs)
	from := fs.Int64("from", 0, "offset of the first change")
	return command(fs, "", "show the changes of the configuration, accepted or not", "celerypoint config history --from 120",
		func(ctx context.Context, args []string) error {
			if err := arguments(args); err != nil {
				return err
			}
			if *from < 0 {
				return usagef("--from: found %d, allowed: at least 0", *from)
			}
			c := r.client()
			defer c.Close()
			v, err := c.Config(ctx, *from)
			if err != nil {
				return err
			}
			return p.print(r.json, v.History, func() {
				w := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
				fmt.Fprintln(w, "OFFSET\tOBJECT\tKIND\tACCEPTED\tID")
				for _, h := range v.History {
					fmt.Fprintf(w, "%d\t%s\t%s\t%t\t%s\n", h.Offset, h.Object, h.Kind, h.Accepted, h.ID)
				}
				_ = w.Flush()
			})
		})
}

func (p *program) drainCommand() *ffcli.Command {
	fs := p.flags("drain")
	r := remoteFlags(fs)
	off := fs.Bool("off", false, "let the VM accept new work again")
	return command(fs, "<vm>", "stop placing new work on a VM", "celerypoint drain worker-01",
		func(ctx context.Context, args []string) error {
			if err := arguments(args, "vm"); err != nil {
				return err
			}
			c := r.client()
			defer c.Close()
			if err := c.Drain(ctx, args[0], !*off); err != nil {
				return err
			}
			return p.print(r.json, wire.ConfigObject{Object: "drain/" + args[0], Draining: !*off}, func() {
				fmt.Fprintf(p.stdout, "VM %s: draining=%t\n", args[0], !*off)
			})
		})
}
