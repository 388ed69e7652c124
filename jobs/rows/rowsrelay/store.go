package rowsrelay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

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
//
// Whatever separates this process from the store often separates others too, and a peer
// without a route to the store only shows it by its silence. A call is therefore also sent
// through other peers, up to maxPeersPerCall in all, and the first reply ends it.
// The repetition is safe because relayed transactions depend on row versions.
type Store struct {
	caller Caller
	// replyTime returns the time within which the store normally replies.
	replyTime func() time.Duration
	peers     peerSet
	// copies limits the calls that are sent through a further peer.
	copies *rate.Limiter
}

var _ rows.Store = (*Store)(nil)

// New returns a store without peers; its calls fail until SetPeers is called. replyTime
// returns the time within which the store normally replies.
func New(caller Caller, replyTime func() time.Duration) *Store {
	return &Store{caller: caller, replyTime: replyTime, copies: rate.NewLimiter(copiesPerSecond, copyBurst)}
}

// SetPeers sets the addresses of the processes that can relay calls.
func (s *Store) SetPeers(addresses []string) { s.peers.set(addresses) }

const (
	// minPeerTimeout is the least time limit of a call through one peer.
	minPeerTimeout = 700 * time.Millisecond
	// minNextPeerDelay is the least time that a peer has to reply before the call is also
	// sent through another one. It is many times the response time of a peer that reaches
	// the store.
	minNextPeerDelay = 150 * time.Millisecond
	// nextPeerFactor is the multiple of the store's reply time that a peer has to reply. A
	// slow store must not get several copies of each call.
	nextPeerFactor = 3
	// maxPeersPerCall bounds the copies of a call that reach a store which replies to nobody.
	maxPeersPerCall = 3
	// copyBurst copies find a peer that reaches the store when a third of the peers does
	// not. Afterwards there are copiesPerSecond: while the store loses replies, every peer
	// seems silent in turn, and copies of transactions would fill the queue of their part.
	copyBurst       = 4
	copiesPerSecond = 0.5
	// replyMargin is subtracted from the timeout passed to the peer, so that the peer can
	// still reply when the store does not. Without it, the session to the peer would be
	// treated as dead.
	replyMargin = 60 * time.Millisecond
)

// nextPeerDelay returns the time after which a call is also sent through the next peer.
func (s *Store) nextPeerDelay(wait time.Duration) time.Duration {
	return max(minNextPeerDelay, nextPeerFactor*s.replyTime()) + wait
}

// peerTimeout returns the time limit of a call through one peer. It is never shorter than
// the time after which the next peer is tried.
func (s *Store) peerTimeout(wait time.Duration) time.Duration {
	return max(minPeerTimeout+wait, s.nextPeerDelay(wait))
}

var errNoPeer = errors.New("no peer is known to relay the call")

// relayed is the result of a call through one peer.
type relayed struct {
	peer  string
	reply *jobpb.StoreReply
	err   error
}

func (r relayed) answered() bool { return r.err == nil || errors.Is(r.err, rows.ErrHistoryGone) }

// call sends a call through one peer after the other until one replies. wait is the time
// that the store may hold the call back.
func (s *Store) call(ctx context.Context, wait time.Duration, call *jobpb.StoreCall) (*jobpb.StoreReply, error) {
	peers := s.peers.choose(maxPeersPerCall, time.Now())
	if len(peers) == 0 {
		return nil, fmt.Errorf("%w: %w", rows.ErrNotExecuted, errNoPeer)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan relayed, len(peers))
	pending := 0
	var silent []string // Peers without a result, in the order in which they were tried.
	sendNext := func() {
		peer := peers[0]
		peers = peers[1:]
		pending++
		silent = append(silent, peer)
		go func() {
			reply, err := s.callPeer(ctx, peer, s.peerTimeout(wait), call)
			results <- relayed{peer, reply, err}
		}()
	}
	sendNext()
	next := time.NewTimer(s.nextPeerDelay(wait))
	defer next.Stop()
	var failure error
	maybeExecuted := false
	for pending > 0 {
		select {
		case <-next.C:
		case r := <-results:
			pending--
			position := slices.Index(silent, r.peer)
			if r.answered() {
				s.peers.markFailed(time.Now(), silent[:position]...)
				s.peers.markAnswered(r.peer)
				return r.reply, r.err
			}
			s.peers.markFailed(time.Now(), r.peer)
			silent = slices.Delete(silent, position, position+1)
			failure = r.err
			maybeExecuted = maybeExecuted || !errors.Is(r.err, rows.ErrNotExecuted)
		}
		if len(peers) > 0 && ctx.Err() == nil && s.copies.Allow() {
			sendNext()
			next.Reset(s.nextPeerDelay(wait))
		}
	}
	if maybeExecuted && errors.Is(failure, rows.ErrNotExecuted) {
		failure = errOutcomeUnknown
	}
	return nil, failure
}

// errOutcomeUnknown means that one peer rejected the call but another may have executed it.
var errOutcomeUnknown = errors.New("outcome unknown: one peer did not reply to the call")

// callPeer sends a call through one peer.
func (s *Store) callPeer(ctx context.Context, peer string, timeout time.Duration, call *jobpb.StoreCall) (*jobpb.StoreReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &jobpb.Request{Call: jobpb.Call_CALL_STORE, Store: call}
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeoutMs = max((time.Until(deadline) - replyMargin).Milliseconds(), 1)
	}
	reply, err := s.caller.Call(ctx, peer, request)
	switch {
	case errors.Is(err, relay.ErrNotSent):
		return nil, fmt.Errorf("%w: %w", rows.ErrNotExecuted, err)
	case err != nil:
		return nil, err
	case reply.Code == jobpb.Code_CODE_OK && reply.Store != nil:
		if reply.Store.HistoryGone {
			return nil, rows.ErrHistoryGone
		}
		return reply.Store, nil
	case reply.Code == jobpb.Code_CODE_REFUSED:
		return nil, fmt.Errorf("relay through %s: %s: %w", peer, reply.Detail, rows.ErrNotExecuted)
	}
	return nil, fmt.Errorf("relay through %s: %v: %s", peer, reply.Code, reply.Detail)
}

// Commit implements [rows.Store].
func (s *Store) Commit(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	reply, err := s.call(ctx, 0, &jobpb.StoreCall{Call: &jobpb.StoreCall_Commit{Commit: encodeTx(tx)}})
	if err != nil {
		return rows.Result{}, err
	}
	return rows.Result{Applied: reply.Applied, Version: reply.Version, CurrentRows: decodeRows(reply.Rows)}, nil
}

// Read implements [rows.Store].
func (s *Store) Read(ctx context.Context, table, part, from string) (rows.Page, error) {
	reply, err := s.call(ctx, 0, &jobpb.StoreCall{Call: &jobpb.StoreCall_Read{Read: &jobpb.Reading{Table: table, Part: part, From: from}}})
	if err != nil {
		return rows.Page{}, err
	}
	return decodePage(reply), nil
}

// Feed implements [rows.Store].
func (s *Store) Feed(ctx context.Context, table string, after rows.Version, wait time.Duration) (rows.Page, error) {
	feed := &jobpb.Feed{Table: table, After: after, WaitMs: wait.Milliseconds()}
	reply, err := s.call(ctx, wait, &jobpb.StoreCall{Call: &jobpb.StoreCall_Feed{Feed: feed}})
	if err != nil {
		return rows.Page{}, err
	}
	return decodePage(reply), nil
}
