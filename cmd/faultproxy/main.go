// Command faultproxy forwards TCP connections to one target and injects the
// network faults that are set on its control port. It is a tool for tests.
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
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/httpserver"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

const controlHandlers = 4

var errUsage = errors.New("wrong usage")

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("faultproxy", flag.ContinueOnError)
	flags.SetOutput(stderr)
	listen := flags.String("listen", "127.0.0.1:0", "TCP address to listen on; port 0 selects a free port")
	control := flags.String("control", "127.0.0.1:0", "TCP address of the HTTP control port")
	target := flags.String("target", "", "TCP address to forward connections to; required")
	seed := flags.Uint64("seed", 1, "seed of the random jitter")
	command := &ffcli.Command{
		Name:       "faultproxy",
		ShortUsage: "faultproxy --target ADDRESS [flags]",
		ShortHelp:  "Forward TCP connections to a target and inject faults.",
		LongHelp: `Prints its address and that of the control port on the first line, and runs
until SIGTERM or SIGINT. Flags can be set as environment variables, such as
CELERYPOINT_TARGET. Exit codes: 0 success, 1 failure, 2 wrong usage.

EXAMPLE
  faultproxy --target 127.0.0.1:7400 --listen 127.0.0.1:7401 --control 127.0.0.1:7402
  curl -d '{"cut":false,"up":{"block":"hold"},"down":{"delayMs":20}}' http://127.0.0.1:7402/faults
  curl http://127.0.0.1:7402/counters`,
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix("CELERYPOINT")},
		Exec: func(ctx context.Context, rest []string) error {
			if len(rest) > 0 || *target == "" {
				return fmt.Errorf("%w: found arguments %q and target %q, allowed: no arguments and a TCP address", errUsage, rest, *target)
			}
			return serve(ctx, stdout, *listen, *control, *target, *seed)
		},
	}
	if err := command.Parse(args); errors.Is(err, flag.ErrHelp) {
		return 0
	} else if err != nil {
		fmt.Fprintln(stderr, "faultproxy:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command.Run(ctx); err != nil {
		fmt.Fprintln(stderr, "faultproxy:", err)
		if errors.Is(err, errUsage) {
			return exitUsage
		}
		return exitFailure
	}
	return 0
}

func serve(ctx context.Context, stdout io.Writer, listen, control, target string, seed uint64) error {
	p, err := faultproxy.New(listen, target, seed)
	if err != nil {
		return err
	}
	defer p.Close()
	server, err := httpserver.New(control, controlHandlers, p.Handler())
	if err != nil {
		return err
	}
	defer server.Close(time.Second)
	fmt.Fprintln(stdout, p.Address(), server.Address())
	<-ctx.Done()
	return nil
}
