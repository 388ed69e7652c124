package rows

import (
	"context"
	"errors"
	"maps"
	"time"
)

// Watcher follows the rows of a table's empty part.
type Watcher struct {
	Store Store
	Table string
	// Changed is called with all rows by name after each change. The map is the callee's.
	Changed func(map[string]Row)
	// Gather is the time from a change to the next look for changes, so that
	// those that come together take one call. 0 for none.
	Gather time.Duration
	// State is called with the error of a failed read, or nil after a read that succeeded.
	State func(error)
}

const (
	// feedWait bounds how long a connection that went silent stays unnoticed.
	feedWait = 2 * time.Second
	// feedSlack is added to the wait for the answer itself.
	feedSlack   = time.Second
	readTimeout = 2 * time.Second
	watchPause  = 150 * time.Millisecond
)

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var known map[string]Row
	var version Version
	for ctx.Err() == nil {
		var err error
		if known == nil {
			known, version, err = w.readAll(ctx)
		} else {
			var changed bool
			version, changed, err = w.follow(ctx, known, version)
			if changed && w.Gather > 0 {
				pause(ctx, w.Gather)
			}
		}
		if errors.Is(err, ErrHistoryGone) {
			known, err = nil, nil
		}
		w.State(err)
		if err != nil {
			pause(ctx, watchPause)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
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
	w.Changed(maps.Clone(known))
	return known, page.Version, nil
}

func (w *Watcher) follow(ctx context.Context, known map[string]Row, after Version) (Version, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedSlack)
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
		w.Changed(maps.Clone(known))
	}
	return max(page.Version, after), changed, nil
}
