package entry

import (
	"context"
	"os/signal"
	"syscall"

	"peridotcrank.dev/settings"
)

// RunUntilSignal runs an entry process until SIGTERM or SIGINT and then stops it
// gracefully.
func RunUntilSignal(s settings.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p, err := New(s)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}
