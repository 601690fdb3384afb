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
	entryFile := fs.String("entry-file", "", "settings `FILE` of an entry to check")
	agentFile := fs.String("agent-file", "", "settings `FILE` of an agent to check")
	defaults := fs.Bool("defaults", false, "print every setting with its default")
	asJSON := fs.Bool("json", false, "print JSON")
	c := command(fs, "", "check settings files without starting anything, or print the defaults", "celerypoint check --entry-file examples/vordulit/entry.ini",
		func(_ context.Context, args []string) error {
			if err := arguments(args); err != nil {
				return err
			}
			if *defaults == (*entryFile != "" || *agentFile != "") {
				return usagef("flags: found both or neither, allowed: --defaults, or --entry-file and --agent-file")
			}
			if *defaults {
				keys := map[string][]settings.Key{"entry": settings.EntryKeys(), "agent": settings.AgentKeys()}
				return p.print(*asJSON, keys, func() {
					writeKeys(p.stdout, "entry.ini", keys["entry"])
					fmt.Fprintln(p.stdout)
					writeKeys(p.stdout, "agent.ini", keys["agent"])
				})
			}
			var checked []string
			if *entryFile != "" {
				if _, err := settings.LoadEntry(*entryFile, nil); err != nil {
					return err
				}
				checked = append(checked, *entryFile)
			}
			if *agentFile != "" {
				if _, err := settings.LoadAgent(*agentFile, nil); err != nil {
					return err
				}
				checked = append(checked, *agentFile)
			}
			return p.print(*asJSON, checked, func() {
				for _, path := range checked {
					fmt.Fprintf(p.stdout, "%s: valid\n", path)
				}
			})
		})
	// The environment holds settings of daemons, not flags of this command.
	c.Options = nil
	return c
}

// writeKeys writes the keys as an INI file; keys without a default stand in
// comments.
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
