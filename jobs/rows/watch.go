package rows

import (
	"context"
	"errors"
	"maps"
	"time"

	"peridotcrank.dev/jobs/loop"
)

// Watcher watches the rows of a table whose part is empty.
type Watcher struct {
	Store Store
	Table string
	// OnChange is called with all rows by name after the first read and each change.
	// The callee owns the map.
	OnChange func(map[string]Row)
	// BatchDelay is the time from a change to the next poll, so that changes which
	// happen close together are read by one call. 0 means no delay.
	BatchDelay time.Duration
	// OnRead is called after each read with its error, or nil if it succeeded.
	OnRead func(error)
	// FeedWait is how long the store may delay the reply to a feed call without changes.
	// Default 2 s.
	FeedWait time.Duration
	// OnConfirmed is called after each read that showed all rows, with the time at which
	// it was sent: the rows of the last call of OnChange are at least as recent. Nil if
	// not needed.
	OnConfirmed func(sent time.Duration)
	// Clock dates the reads for OnConfirmed. Required with it.
	Clock loop.Clock
}

const (
	// defaultFeedWait limits the time until a dead connection is detected.
	defaultFeedWait = 2 * time.Second
	// feedReplyMargin is added to the wait of a feed for the transfer of the reply.
	feedReplyMargin = time.Second
	readTimeout     = 2 * time.Second
	retryDelay      = 150 * time.Millisecond
)

// Run watches the table until ctx ends. It reads all rows first and again whenever the
// store no longer keeps the history of changes.
func (w *Watcher) Run(ctx context.Context) {
	var known map[string]Row
	var version Version
	failed := false
	for ctx.Err() == nil {
		var err error
		if known == nil {
			known, version, err = w.readAll(ctx)
		} else {
			var changed bool
			version, changed, err = w.readFeed(ctx, known, version, w.feedWait(failed))
			if changed && w.BatchDelay > 0 {
				sleep(ctx, w.BatchDelay)
			}
		}
		if errors.Is(err, ErrHistoryGone) {
			known, err = nil, nil
		}
		w.OnRead(err)
		if failed = err != nil; failed {
			sleep(ctx, retryDelay)
		}
	}
}

// feedWait returns how long the next feed call waits for a change. If reads are confirmed,
// the call after a failed one does not wait, because the last confirmation is old.
func (w *Watcher) feedWait(failed bool) time.Duration {
	switch {
	case failed && w.OnConfirmed != nil:
		return 0
	case w.FeedWait > 0:
		return w.FeedWait
	}
	return defaultFeedWait
}

// confirmRead returns a function that reports a read sent now as a confirmation.
func (w *Watcher) confirmRead() func() {
	if w.OnConfirmed == nil {
		return func() {}
	}
	sent := w.Clock()
	return func() { w.OnConfirmed(sent) }
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *Watcher) readAll(ctx context.Context) (map[string]Row, Version, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	confirm := w.confirmRead()
	page, err := ReadAll(ctx, w.Store, w.Table, "")
	if err != nil {
		return nil, 0, err
	}
	known := map[string]Row{}
	for _, row := range page.Rows {
		known[row.Name] = row
	}
	w.OnChange(maps.Clone(known))
	confirm()
	return known, page.Version, nil
}

func (w *Watcher) readFeed(ctx context.Context, known map[string]Row, after Version, wait time.Duration) (Version, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+feedReplyMargin)
	defer cancel()
	confirm := w.confirmRead()
	page, err := w.Store.Feed(ctx, w.Table, after, wait)
	if err != nil {
		return after, false, err
	}
	changed := false
	for _, row := range page.Rows {
		if row.Part != "" || row.Version <= known[row.Name].Version {
			continue
		}
		changed = true
		if row.Deleted {
			delete(known, row.Name)
		} else {
			known[row.Name] = row
		}
	}
	if changed {
		w.OnChange(maps.Clone(known))
	}
	if !page.More {
		confirm()
	}
	return max(page.Version, after), changed, nil
}
