// Command standinruntime stands in for the worker runtime of one VM.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/standinruntime"
)

const help = `Serves the worker runtime protocol until it is interrupted, and prints its address.

EXAMPLE
  standinruntime --listen 127.0.0.1:7000 --vm vm1 --accelerators 8

Exits with 0 when interrupted, 1 on failure, 2 on wrong usage.`

func main() { os.Exit(run()) }

func run() int {
	var c standinruntime.Config
	flags := flag.NewFlagSet("standinruntime", flag.ContinueOnError)
	flags.StringVar(&c.Listen, "listen", "127.0.0.1:0", "TCP address to listen on")
	flags.StringVar(&c.VM, "vm", "", "name of the VM (required)")
	flags.IntVar(&c.Accelerators, "accelerators", 8, "number of accelerators")
	flags.BoolVar(&c.FailAll, "fail-all", false, "fail every task")
	flags.DurationVar(&c.CheckpointDuration, "checkpoint-takes", 100*time.Millisecond, "time that a checkpoint takes")
	flags.DurationVar(&c.UsageLag, "usage-lag", 2*time.Second, "age of the progress that is reported")
	command := &ffcli.Command{
		Name: "standinruntime", ShortUsage: "standinruntime --vm NAME [flags]", LongHelp: help, FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error { return serve(ctx, c, args) },
	}
	if err := command.Parse(os.Args[1:]); errors.Is(err, flag.ErrHelp) {
		return 0
	} else if err != nil {
		fmt.Fprintln(os.Stderr, "standinruntime:", err)
		return 2
	}
	err := command.Run(context.Background())
	var usage usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "standinruntime:", err)
		return 2
	default:
		fmt.Fprintln(os.Stderr, "standinruntime:", err)
		return 1
	}
}

type usageError string

func (e usageError) Error() string { return string(e) }

func serve(ctx context.Context, c standinruntime.Config, args []string) error {
	switch {
	case len(args) > 0:
		return usageError(fmt.Sprintf("found argument %q, allowed: flags only", args[0]))
	case c.VM == "":
		return usageError("--vm: found none, allowed: the name of the VM")
	case c.Accelerators < 0:
		return usageError(fmt.Sprintf("--accelerators: found %d, allowed: at least 0", c.Accelerators))
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := standinruntime.New(c)
	if err != nil {
		return err
	}
	defer r.Close()
	fmt.Println(r.Address())
	<-ctx.Done()
	return nil
}
