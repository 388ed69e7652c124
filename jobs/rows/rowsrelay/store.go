package rowsrelay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/relay"
	"peridotcrank.dev/jobs/rows"
)

// Caller calls the process at an address.
type Caller interface {
	Call(ctx context.Context, address string, request *jobpb.Request) (*jobpb.Reply, error)
}

// Store reaches the platform's store through another process. It is safe for
// concurrent use.
type Store struct {
	caller Caller

	mu    sync.Mutex
	peers []string // Addresses.
	peer  string   // The one that answered last, or the next to try.
}

var _ rows.Store = (*Store)(nil)

// New returns a store without processes to go through.
func New(caller Caller) *Store { return &Store{caller: caller} }

// SetPeers takes the addresses of the other processes.
func (s *Store) SetPeers(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = addresses
}

// callLimit bounds a call through a process that does not answer, so that another
// one can be tried.
const callLimit = 700 * time.Millisecond

// answerMargin is left for the answer of the other process that the store did not
// answer; without it the session to that process would be taken as silent.
const answerMargin = 60 * time.Millisecond

func (s *Store) choose() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peer == "" && len(s.peers) > 0 {
		s.peer = s.peers[rand.IntN(len(s.peers))]
	}
	return s.peer, s.peer != ""
}

// leave has the next call go through another process.
func (s *Store) leave(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peer == peer {
		s.peer = ""
	}
}

var errNoPeer = errors.New("no other process is known")

func (s *Store) call(ctx context.Context, limit time.Duration, call *jobpb.StoreCall) (*jobpb.StoreReply, error) {
	peer, ok := s.choose()
	if !ok {
		return nil, fmt.Errorf("%w: %w", rows.ErrNotDone, errNoPeer)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request := &jobpb.Request{Call: jobpb.Call_CALL_STORE, Store: call}
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeoutMs = max((time.Until(deadline) - answerMargin).Milliseconds(), 1)
	}
	reply, err := s.caller.Call(ctx, peer, request)
	switch {
	case errors.Is(err, relay.ErrNotSent):
		err = fmt.Errorf("%w: %w", rows.ErrNotDone, err)
	case err != nil:
	case reply.Code == jobpb.Code_CODE_OK && reply.Store != nil:
		if reply.Store.HistoryGone {
			return nil, rows.ErrHistoryGone
		}
		return reply.Store, nil
	case reply.Code == jobpb.Code_CODE_REFUSED:
		err = fmt.Errorf("through %s: %s: %w", peer, reply.Detail, rows.ErrNotDone)
	default:
		err = fmt.Errorf("through %s: %v: %s", peer, reply.Code, reply.Detail)
	}
	s.leave(peer)
	return nil, err
}

// Commit implements [rows.Store].
func (s *Store) Commit(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	reply, err := s.call(ctx, callLimit, &jobpb.StoreCall{Call: &jobpb.StoreCall_Commit{Commit: toTx(tx)}})
	if err != nil {
		return rows.Result{}, err
	}
	return rows.Result{Applied: reply.Applied, Version: reply.Version, Found: fromRows(reply.Rows)}, nil
}

// Read implements [rows.Store].
func (s *Store) Read(ctx context.Context, table, part, from string) (rows.Page, error) {
	reply, err := s.call(ctx, callLimit, &jobpb.StoreCall{Call: &jobpb.StoreCall_Read{Read: &jobpb.Reading{Table: table, Part: part, From: from}}})
	if err != nil {
		return rows.Page{}, err
	}
	return fromPage(reply), nil
}

// Feed implements [rows.Store].
func (s *Store) Feed(ctx context.Context, table string, after rows.Version, wait time.Duration) (rows.Page, error) {
	feed := &jobpb.Feed{Table: table, After: after, WaitMs: wait.Milliseconds()}
	reply, err := s.call(ctx, callLimit+wait, &jobpb.StoreCall{Call: &jobpb.StoreCall_Feed{Feed: feed}})
	if err != nil {
		return rows.Page{}, err
	}
	return fromPage(reply), nil
}
