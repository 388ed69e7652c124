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

// Caller sends a request to the process at an address and returns its reply. After an
// error that does not wrap [relay.ErrNotSent], the request may have been executed.
type Caller interface {
	Call(ctx context.Context, address string, request *jobpb.Request) (*jobpb.Reply, error)
}

// Store is a [rows.Store] that relays calls through another process. It is safe for
// concurrent use.
type Store struct {
	caller Caller

	mu          sync.Mutex
	peers       []string // Addresses.
	currentPeer string   // Peer in use; empty until one is chosen.
}

var _ rows.Store = (*Store)(nil)

// New returns a store without peers; its calls fail until SetPeers is called.
func New(caller Caller) *Store { return &Store{caller: caller} }

// SetPeers sets the addresses of the processes that can relay calls.
func (s *Store) SetPeers(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = addresses
}

// callTimeout limits a call through a peer that does not reply, so that another peer can
// be tried.
const callTimeout = 700 * time.Millisecond

// replyMargin is subtracted from the timeout passed to the peer, so that the peer can
// still reply when the store does not. Without it, the session to the peer would be
// treated as dead.
const replyMargin = 60 * time.Millisecond

func (s *Store) choosePeer() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentPeer == "" && len(s.peers) > 0 {
		s.currentPeer = s.peers[rand.IntN(len(s.peers))]
	}
	return s.currentPeer, s.currentPeer != ""
}

// abandonPeer makes the next call choose another peer.
func (s *Store) abandonPeer(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentPeer == peer {
		s.currentPeer = ""
	}
}

var errNoPeer = errors.New("no peer is known to relay the call")

func (s *Store) call(ctx context.Context, timeout time.Duration, call *jobpb.StoreCall) (*jobpb.StoreReply, error) {
	peer, ok := s.choosePeer()
	if !ok {
		return nil, fmt.Errorf("%w: %w", rows.ErrNotExecuted, errNoPeer)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &jobpb.Request{Call: jobpb.Call_CALL_STORE, Store: call}
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeoutMs = max((time.Until(deadline) - replyMargin).Milliseconds(), 1)
	}
	reply, err := s.caller.Call(ctx, peer, request)
	switch {
	case errors.Is(err, relay.ErrNotSent):
		err = fmt.Errorf("%w: %w", rows.ErrNotExecuted, err)
	case err != nil:
	case reply.Code == jobpb.Code_CODE_OK && reply.Store != nil:
		if reply.Store.HistoryGone {
			return nil, rows.ErrHistoryGone
		}
		return reply.Store, nil
	case reply.Code == jobpb.Code_CODE_REFUSED:
		err = fmt.Errorf("relay through %s: %s: %w", peer, reply.Detail, rows.ErrNotExecuted)
	default:
		err = fmt.Errorf("relay through %s: %v: %s", peer, reply.Code, reply.Detail)
	}
	s.abandonPeer(peer)
	return nil, err
}

// Commit implements [rows.Store].
func (s *Store) Commit(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	reply, err := s.call(ctx, callTimeout, &jobpb.StoreCall{Call: &jobpb.StoreCall_Commit{Commit: encodeTx(tx)}})
	if err != nil {
		return rows.Result{}, err
	}
	return rows.Result{Applied: reply.Applied, Version: reply.Version, CurrentRows: decodeRows(reply.Rows)}, nil
}

// Read implements [rows.Store].
func (s *Store) Read(ctx context.Context, table, part, from string) (rows.Page, error) {
	reply, err := s.call(ctx, callTimeout, &jobpb.StoreCall{Call: &jobpb.StoreCall_Read{Read: &jobpb.Reading{Table: table, Part: part, From: from}}})
	if err != nil {
		return rows.Page{}, err
	}
	return decodePage(reply), nil
}

// Feed implements [rows.Store].
func (s *Store) Feed(ctx context.Context, table string, after rows.Version, wait time.Duration) (rows.Page, error) {
	feed := &jobpb.Feed{Table: table, After: after, WaitMs: wait.Milliseconds()}
	reply, err := s.call(ctx, callTimeout+wait, &jobpb.StoreCall{Call: &jobpb.StoreCall_Feed{Feed: feed}})
	if err != nil {
		return rows.Page{}, err
	}
	return decodePage(reply), nil
}
