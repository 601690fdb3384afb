// Command celerypoint schedules multi-accelerator jobs under organisation
// guarantees.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"celerypoint.example/celerypoint/cli"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
