// Package cli implements the commands of the program celerypoint. Run selects a
// command from the arguments and turns its error into an exit code. The package
// owns no state and takes no lock.
package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/entryhttp"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// program holds the outputs that the commands share.
type program struct {
	stdout io.Writer
	stderr io.Writer
	// flagOutput buffers what package flag prints. Run writes it to stdout for
	// --help. If it is not empty after another error, the arguments were wrong.
	flagOutput bytes.Buffer
}

// Run runs the command that args select and returns the exit code: 0 for success,
// 1 for failure, 2 for wrong usage. A daemon stops gracefully when ctx ends.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	p := &program{stdout: stdout, stderr: stderr}
	err := p.root().ParseAndRun(ctx, args)
	var noExec ffcli.NoExecError
	var usageErr usageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		_, _ = p.flagOutput.WriteTo(stdout)
		return exitOK
	case errors.As(err, &noExec):
		p.reportMissingCommand(noExec)
		return exitUsage
	case errors.As(err, &usageErr):
		fmt.Fprintf(stderr, "celerypoint: %v; see --help\n", usageErr.err)
		return exitUsage
	case p.flagOutput.Len() > 0 || strings.HasPrefix(err.Error(), "error parsing "):
		// Package flag has rejected an argument, or package ff an environment
		// variable.
		fmt.Fprintf(stderr, "celerypoint: %v; see --help\n", err)
		return exitUsage
	default:
		fmt.Fprintf(stderr, "celerypoint: %v\n", err)
		return exitFailure
	}
}

// reportMissingCommand reports a missing or unknown subcommand and lists the
// allowed ones.
func (p *program) reportMissingCommand(e ffcli.NoExecError) {
	var names []string
	for _, c := range e.Command.Subcommands {
		names = append(names, c.Name)
	}
	found := "none"
	if args := e.Command.FlagSet.Args(); len(args) > 0 {
		found = fmt.Sprintf("%q", args[0])
	}
	fmt.Fprintf(p.stderr, "celerypoint: command: found %s, allowed: %s; see --help\n", found, strings.Join(names, ", "))
}

// usageError is an error in the usage that the flag parser does not detect.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }

func usagef(format string, values ...any) error { return usageError{fmt.Errorf(format, values...)} }

func (p *program) root() *ffcli.Command {
	return p.group("celerypoint", "celerypoint schedules multi-accelerator jobs under organisation guarantees.",
		p.entryCommand(), p.agentCommand(), p.siteCommand(), p.traceCommand(), p.checkCommand(),
		p.submitCommand(), p.statusCommand(), p.cancelCommand(),
		p.orgCommand(), p.labelCommand(), p.configCommand(), p.drainCommand(), p.timelineCommand(),
		p.explainCommand(), p.demoCommand(), p.loadCommand(),
	)
}

// group makes a command that only has subcommands.
func (p *program) group(name, short string, commands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: name + " <command> [flags] [arguments]", ShortHelp: short,
		LongHelp: "The flag --help of each command shows an example. Exit codes: 0 success, 1 failure, 2 wrong usage.",
		FlagSet:  p.flags(name), Subcommands: commands,
	}
}

func (p *program) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(&p.flagOutput)
	return fs
}

// command makes a command without subcommands. Its flags can also be set by
// environment variables, such as CELERYPOINT_ENTRY for --entry, unless the caller
// clears Options.
func command(fs *flag.FlagSet, usage, short, example string, exec func(ctx context.Context, args []string) error) *ffcli.Command {
	name := fs.Name()
	return &ffcli.Command{
		Name: name[strings.LastIndexByte(name, ' ')+1:], ShortUsage: "celerypoint " + name + " [flags] " + usage, ShortHelp: short,
		LongHelp: "EXAMPLE\n  " + example, FlagSet: fs, Options: []ff.Option{ff.WithEnvVarPrefix("CELERYPOINT")},
		Exec: exec,
	}
}

// arguments checks that there are as many arguments as names, and that none of
// them is a flag. The names are only used in the error message.
func arguments(args []string, names ...string) error {
	for _, a := range args {
		if strings.HasPrefix(a, "-") {
			return usagef("argument: found %q, allowed: flags before the first argument", a)
		}
	}
	if len(args) != len(names) {
		return usagef("arguments: found %d, allowed: %d (%s)", len(args), len(names), strings.Join(names, " "))
	}
	return nil
}

// remote holds the flags of commands that send requests to entries.
type remote struct {
	entries string
	json    bool
}

func remoteFlags(fs *flag.FlagSet) *remote {
	r := &remote{}
	fs.StringVar(&r.entries, "entry", "127.0.0.1:7180", "HTTP addresses of entries, `ADDR[,ADDR]`; the next one is tried if one cannot be reached or is stopping")
	fs.BoolVar(&r.json, "json", false, "print JSON")
	return r
}

func (r *remote) client() *entryhttp.Client { return entryhttp.New(r.addresses()...) }

func (r *remote) addresses() []string {
	var addresses []string
	for a := range strings.SplitSeq(r.entries, ",") {
		if a = strings.TrimSpace(a); a != "" {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// print writes v as JSON if asJSON is set, and calls text otherwise.
func (p *program) print(asJSON bool, v any, text func()) error {
	if !asJSON {
		text()
		return nil
	}
	e := json.NewEncoder(p.stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// parsePairs parses texts of the form KEY=VALUE. name is the flag or argument that
// an error names.
func parsePairs(name string, texts []string) (map[string]string, error) {
	all := map[string]string{}
	for _, t := range texts {
		key, value, ok := strings.Cut(t, "=")
		if _, twice := all[key]; !ok || key == "" || twice {
			return nil, usagef("%s: found %q, allowed: KEY=VALUE with each key once", name, t)
		}
		all[key] = value
	}
	return all, nil
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
