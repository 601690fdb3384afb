package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/settings"
)

func (p *program) checkCommand() *ffcli.Command {
	fs := p.flags("check")
	defaults := fs.Bool("defaults", false, "print every setting with its default")
	asJSON := fs.Bool("json", false, "print JSON")
	c := command(fs, "[FILE ...]", "check settings files without starting anything, or print the defaults", "celerypoint check examples/vordulit/entry.ini examples/vordulit/agent.ini",
		func(_ context.Context, files []string) error {
			if *defaults == (len(files) > 0) {
				return usagef("arguments: found --defaults and files, or neither; allowed: --defaults, or files")
			}
			if *defaults {
				return p.printDefaults(*asJSON)
			}
			for _, path := range files {
				if err := settings.Check(path); err != nil {
					return err
				}
			}
			return p.print(*asJSON, files, func() {
				for _, path := range files {
					fmt.Fprintf(p.stdout, "%s: valid\n", path)
				}
			})
		})
	// The flags of this command are not read from environment variables,
	// because those that start with CELERYPOINT_ hold settings of the daemons.
	c.Options = nil
	return c
}

func (p *program) printDefaults(asJSON bool) error {
	keys := map[string][]settings.Key{
		"entry": settings.EntryKeys(), "agent": settings.AgentKeys(),
		"siteEntry": settings.SiteEntryKeys(), "siteAgent": settings.SiteAgentKeys(),
	}
	return p.print(asJSON, keys, func() {
		writeKeys(p.stdout, "entry.ini", keys["entry"])
		for _, f := range []struct{ name, keys string }{{"agent.ini", "agent"}, {"entry.ini on the users' platform", "siteEntry"}, {"agent.ini on the users' platform", "siteAgent"}} {
			fmt.Fprintln(p.stdout)
			writeKeys(p.stdout, f.name, keys[f.keys])
		}
	})
}

// writeKeys writes the keys as an INI file. Keys without a default are commented
// out.
func writeKeys(out io.Writer, name string, keys []settings.Key) {
	fmt.Fprintf(out, "# %s\n", name)
	section := ""
	for _, k := range keys {
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(out, "\n[%s]\n", section)
		}
		need := ""
		if k.Default == "" && !k.Optional {
			need = "; required"
		}
		fmt.Fprintf(out, "# %s; allowed: %s%s\n", k.Help, k.Allowed, need)
		if k.Default == "" {
			fmt.Fprintf(out, "# %s =\n", k.Name)
			continue
		}
		fmt.Fprintf(out, "%s = %s\n", k.Name, k.Default)
	}
}
