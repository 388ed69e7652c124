package jobproc

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	settings "peridotcrank.dev/settings/jobs"
)

// RunUntilSignal runs a process until SIGTERM or SIGINT, then stops it gracefully. It
// returns an error if the process cannot start or a server fails.
func RunUntilSignal(s settings.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	p, err := New(s)
	if err != nil {
		return err
	}
	if s.File != "" {
		go p.watchSettings(ctx, reloads, reloadInterval)
	}
	return p.Run(ctx)
}
