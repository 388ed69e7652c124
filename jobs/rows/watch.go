package rows

import (
	"context"
	"errors"
	"maps"
	"time"
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
}

const (
	// feedWait limits the time until a dead connection is detected.
	feedWait = 2 * time.Second
	// feedReplyMargin is added to feedWait for the transfer of the reply.
	feedReplyMargin = time.Second
	readTimeout     = 2 * time.Second
	retryDelay      = 150 * time.Millisecond
)

// Run watches the table until ctx ends. It reads all rows first and again whenever the
// store no longer keeps the history of changes.
func (w *Watcher) Run(ctx context.Context) {
	var known map[string]Row
	var version Version
	for ctx.Err() == nil {
		var err error
		if known == nil {
			known, version, err = w.readAll(ctx)
		} else {
			var changed bool
			version, changed, err = w.readFeed(ctx, known, version)
			if changed && w.BatchDelay > 0 {
				sleep(ctx, w.BatchDelay)
			}
		}
		if errors.Is(err, ErrHistoryGone) {
			known, err = nil, nil
		}
		w.OnRead(err)
		if err != nil {
			sleep(ctx, retryDelay)
		}
	}
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
	page, err := ReadAll(ctx, w.Store, w.Table, "")
	if err != nil {
		return nil, 0, err
	}
	known := map[string]Row{}
	for _, row := range page.Rows {
		known[row.Name] = row
	}
	w.OnChange(maps.Clone(known))
	return known, page.Version, nil
}

func (w *Watcher) readFeed(ctx context.Context, known map[string]Row, after Version) (Version, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedReplyMargin)
	defer cancel()
	page, err := w.Store.Feed(ctx, w.Table, after, feedWait)
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
	return max(page.Version, after), changed, nil
}
