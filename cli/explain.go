package cli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/rules"
)

// ruleRecord is the JSON form of a rule.
type ruleRecord struct {
	Name  string `json:"name"`
	Title string `json:"title"`
	Text  string `json:"text"`
	Since string `json:"since"`
}

func (p *program) explainCommand() *ffcli.Command {
	fs := p.flags("explain")
	asJSON := fs.Bool("json", false, "print JSON")
	return command(fs, "[rule]", "explain a rule that refuses requests or keeps jobs waiting, or list the rules", "celerypoint explain queueFull",
		func(_ context.Context, args []string) error {
			if len(args) == 0 {
				all := make([]ruleRecord, 0, len(rules.All))
				for _, r := range rules.All {
					all = append(all, ruleRecord(r))
				}
				return p.print(*asJSON, all, func() {
					w := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
					for _, r := range rules.All {
						fmt.Fprintf(w, "%s\t%s\n", r.Name, r.Title)
					}
					_ = w.Flush()
				})
			}
			if err := arguments(args, "rule"); err != nil {
				return err
			}
			r, ok := rules.Find(args[0])
			if !ok {
				return fmt.Errorf("rule: found %q, allowed: a name that `celerypoint explain` lists", args[0])
			}
			return p.print(*asJSON, ruleRecord(r), func() {
				fmt.Fprintf(p.stdout, "%s: %s (since %s)\n\n%s\n", r.Name, r.Title, r.Since, r.Text)
			})
		})
}
