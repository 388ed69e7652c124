package jobproc

import (
	"context"
	"os/signal"
	"syscall"

	settings "peridotcrank.dev/settings/jobs"
)

// RunUntilSignal runs a process until SIGTERM or SIGINT, then stops it gracefully.
func RunUntilSignal(s settings.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The settings hold nothing that may change while the process runs.
	signal.Ignore(syscall.SIGHUP)
	p, err := New(s)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}
