package rowsrelay

import (
	"context"
	"errors"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

// HandleCall executes a store call relayed by another process. The code of the reply
// tells whether the call was executed, rejected, invalid, or has an unknown outcome.
func HandleCall(ctx context.Context, store rows.Store, call *jobpb.StoreCall) *jobpb.Reply {
	reply, err := executeCall(ctx, store, call)
	switch {
	case errors.Is(err, errMissingCall):
		return &jobpb.Reply{Code: jobpb.Code_CODE_INVALID, Detail: err.Error()}
	case errors.Is(err, rows.ErrHistoryGone):
		return &jobpb.Reply{Code: jobpb.Code_CODE_OK, Store: &jobpb.StoreReply{HistoryGone: true}}
	case errors.Is(err, rows.ErrNotExecuted):
		return &jobpb.Reply{Code: jobpb.Code_CODE_REFUSED, Detail: err.Error()}
	case err != nil:
		return &jobpb.Reply{Code: jobpb.Code_CODE_UNKNOWN, Detail: err.Error()}
	}
	return &jobpb.Reply{Code: jobpb.Code_CODE_OK, Store: reply}
}

var errMissingCall = errors.New("the request has no call to the store")

func executeCall(ctx context.Context, store rows.Store, call *jobpb.StoreCall) (*jobpb.StoreReply, error) {
	switch {
	case call.GetCommit() != nil:
		result, err := store.Commit(ctx, decodeTx(call.GetCommit()))
		return &jobpb.StoreReply{Applied: result.Applied, Version: result.Version, Rows: encodeRows(result.CurrentRows)}, err
	case call.GetRead() != nil:
		r := call.GetRead()
		page, err := store.Read(ctx, r.Table, r.Part, r.From)
		return encodePage(page), err
	case call.GetFeed() != nil:
		f := call.GetFeed()
		page, err := store.Feed(ctx, f.Table, f.After, milliseconds(f.WaitMs))
		return encodePage(page), err
	}
	return nil, errMissingCall
}
