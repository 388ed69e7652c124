// Command peridotcrank is a fleet capacity and maintenance manager.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"peridotcrank.dev/peridotcrank/entry"
	"peridotcrank.dev/settings"
)

func main() {
	s, err := settings.Load(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p, err := entry.New(s)
	if err == nil {
		err = p.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
