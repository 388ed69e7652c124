package rowsrelay

import (
	"context"
	"errors"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

// Answer makes the call of another process.
func Answer(ctx context.Context, store rows.Store, call *jobpb.StoreCall) *jobpb.Reply {
	reply, err := perform(ctx, store, call)
	switch {
	case errors.Is(err, errNoCall):
		return &jobpb.Reply{Code: jobpb.Code_CODE_INVALID, Detail: err.Error()}
	case errors.Is(err, rows.ErrHistoryGone):
		return &jobpb.Reply{Code: jobpb.Code_CODE_OK, Store: &jobpb.StoreReply{HistoryGone: true}}
	case errors.Is(err, rows.ErrNotDone):
		return &jobpb.Reply{Code: jobpb.Code_CODE_REFUSED, Detail: err.Error()}
	case err != nil:
		return &jobpb.Reply{Code: jobpb.Code_CODE_UNKNOWN, Detail: err.Error()}
	}
	return &jobpb.Reply{Code: jobpb.Code_CODE_OK, Store: reply}
}

var errNoCall = errors.New("the request has no call to the store")

func perform(ctx context.Context, store rows.Store, call *jobpb.StoreCall) (*jobpb.StoreReply, error) {
	switch {
	case call.GetCommit() != nil:
		result, err := store.Commit(ctx, fromTx(call.GetCommit()))
		return &jobpb.StoreReply{Applied: result.Applied, Version: result.Version, Rows: toRows(result.Found)}, err
	case call.GetRead() != nil:
		r := call.GetRead()
		page, err := store.Read(ctx, r.Table, r.Part, r.From)
		return toPage(page), err
	case call.GetFeed() != nil:
		f := call.GetFeed()
		page, err := store.Feed(ctx, f.Table, f.After, milliseconds(f.WaitMs))
		return toPage(page), err
	}
	return nil, errNoCall
}
