// Command standinlog runs a stand-in for the platform's log service, for tests
// and demonstrations.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/standinlog"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("standinlog", flag.ContinueOnError)
	flags.SetOutput(stderr)
	listen := flags.String("listen", "127.0.0.1:0", "TCP address to listen on; port 0 selects a free port")
	records := flags.Int("retain-records", 0, "number of most recent records that each stream keeps; 0 keeps all")
	age := flags.Duration("retain-age", 0, "age at which records expire; 0 means never")
	rate := flags.Int("appends-per-second", 400, "maximum number of appends per second, at least 1; further ones are refused with status 429")
	command := &ffcli.Command{
		Name:       "standinlog",
		ShortUsage: "standinlog [flags]",
		ShortHelp:  "Run a stand-in for the platform's log service.",
		LongHelp: `Prints its address on the first line and runs until SIGTERM or SIGINT.
Flags can be set as environment variables, such as CELERYPOINT_RETAIN_RECORDS.
Exit codes: 0 success, 1 failure, 2 wrong usage.

EXAMPLE
  standinlog --listen 127.0.0.1:7400 --retain-records 10000
  curl -d '{"down":true}' http://127.0.0.1:7400/faults`,
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix("CELERYPOINT")},
		Exec: func(ctx context.Context, rest []string) error {
			if len(rest) > 0 || *records < 0 || *age < 0 || *rate < 1 {
				return fmt.Errorf("%w: found arguments %q, retain-records %d, retain-age %v, appends-per-second %d; allowed: no arguments, at least 0, at least 0, at least 1",
					errUsage, rest, *records, *age, *rate)
			}
			return serve(ctx, stdout, *listen, standinlog.RetainRecords(*records), standinlog.RetainAge(*age), standinlog.AppendsPerSecond(*rate))
		},
	}
	if err := command.Parse(args); errors.Is(err, flag.ErrHelp) {
		return 0
	} else if err != nil {
		fmt.Fprintln(stderr, "standinlog:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command.Run(ctx); err != nil {
		fmt.Fprintln(stderr, "standinlog:", err)
		if errors.Is(err, errUsage) {
			return exitUsage
		}
		return exitFailure
	}
	return 0
}

var errUsage = errors.New("wrong usage")

func serve(ctx context.Context, stdout io.Writer, listen string, options ...standinlog.Option) error {
	l, err := standinlog.New(listen, options...)
	if err != nil {
		return err
	}
	defer l.Close()
	fmt.Fprintln(stdout, l.Address())
	<-ctx.Done()
	return nil
}
