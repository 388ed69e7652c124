package rows

import (
	"cmp"
	"context"
	"errors"
	"time"
)

// PartsWatcher watches the rows of all parts of a table.
type PartsWatcher struct {
	Store Store
	Table string
	// Parts returns the parts whose rows are read at first. A part that it returns later is
	// read then. Changes are reported for all parts.
	Parts func() []string
	// OnChange is called with the rows that were read or have changed, including deleted
	// ones. Rows may be reported more than once and out of order.
	OnChange func([]Row)
	// BatchDelay is the time from a change to the next poll, so that changes which happen
	// close together are read by one call. 0 means no delay.
	BatchDelay time.Duration
	// FeedWait is how long the store may delay the reply to a feed call without changes.
	// Default 2 s.
	FeedWait time.Duration
	// OnRead is called after each read with its error, or nil if it succeeded.
	OnRead func(error)
}

// partsPosition is how far a [PartsWatcher] has read.
type partsPosition struct {
	version Version
	started bool            // version is set.
	read    map[string]bool // Parts that were read.
}

// Run watches the table until ctx ends. It reads the parts again whenever the store no
// longer keeps the history of changes.
func (w *PartsWatcher) Run(ctx context.Context) {
	position := partsPosition{read: map[string]bool{}}
	for ctx.Err() == nil {
		changed, err := w.poll(ctx, &position)
		if errors.Is(err, ErrHistoryGone) {
			position, err = partsPosition{read: map[string]bool{}}, nil
		}
		if ctx.Err() != nil {
			return
		}
		w.OnRead(err)
		switch {
		case err != nil:
			sleep(ctx, retryDelay)
		case changed && w.BatchDelay > 0:
			sleep(ctx, w.BatchDelay)
		}
	}
}

// poll reads the parts that were not read yet, and then the changes. After a failed read of
// a part it reads the changes too, because those of other parts do not depend on it.
func (w *PartsWatcher) poll(ctx context.Context, position *partsPosition) (changed bool, err error) {
	readErr := w.readNewParts(ctx, position)
	if !position.started {
		if readErr == nil {
			sleep(ctx, retryDelay) // There are no parts yet.
		}
		return false, readErr
	}
	changed, err = w.readChanges(ctx, position)
	if err == nil {
		err = readErr
	}
	return changed, err
}

// readNewParts reads the parts that were not read yet, up to the first that fails.
func (w *PartsWatcher) readNewParts(ctx context.Context, position *partsPosition) error {
	for _, part := range w.Parts() {
		if position.read[part] {
			continue
		}
		if err := w.readPart(ctx, part, position); err != nil {
			return err
		}
	}
	return nil
}

// readChanges reads the changes since the last read.
func (w *PartsWatcher) readChanges(ctx context.Context, position *partsPosition) (changed bool, err error) {
	wait := cmp.Or(w.FeedWait, defaultFeedWait)
	ctx, cancel := context.WithTimeout(ctx, wait+feedReplyMargin)
	defer cancel()
	page, err := w.Store.Feed(ctx, w.Table, position.version, wait)
	if err != nil {
		return false, err
	}
	position.version = max(position.version, page.Version)
	if len(page.Rows) > 0 {
		w.OnChange(page.Rows)
	}
	return len(page.Rows) > 0, nil
}

// readPart reads all rows of a part. The feed starts at the version of the first read, so
// that it misses no change.
func (w *PartsWatcher) readPart(ctx context.Context, part string, position *partsPosition) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := ReadAll(ctx, w.Store, w.Table, part)
	if err != nil {
		return err
	}
	if !position.started {
		position.version, position.started = page.Version, true
	}
	position.read[part] = true
	if len(page.Rows) > 0 {
		w.OnChange(page.Rows)
	}
	return nil
}
