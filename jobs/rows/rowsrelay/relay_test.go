package rowsrelay

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/relay"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
)

// peerStores is a Caller that handles calls with the store of each address. Addresses
// without a store are unreachable.
type peerStores map[string]rows.Store

func (p peerStores) Call(ctx context.Context, address string, request *jobpb.Request) (*jobpb.Reply, error) {
	store, ok := p[address]
	if !ok {
		return nil, relay.ErrNotSent
	}
	return HandleCall(ctx, store, request.Store), nil
}

func fastStore() time.Duration { return 5 * time.Millisecond }

// Guards against calls and results that are altered when relayed through another process.
func TestCallsArriveUnchanged(t *testing.T) {
	table := &rowstest.Store{}
	s := New(peerStores{"a": table}, fastStore)
	ctx := context.Background()
	_, err := s.Read(ctx, "t", "p", "")
	assert.Assert(t, errors.Is(err, rows.ErrNotExecuted)) // No other process is known.
	s.SetPeers([]string{"a"})
	key := rows.Key{Table: "t", Part: "p", Name: "n"}
	tx := rows.Tx{Expect: []rows.Expectation{{Key: key}}, Set: []rows.Row{{Key: key, Value: []byte{0, 1}}}}
	result, err := s.Commit(ctx, tx)
	assert.NilError(t, err)
	assert.Assert(t, result.Applied && result.Version > 0)
	again, err := s.Commit(ctx, tx)
	assert.NilError(t, err)
	assert.Assert(t, !again.Applied)
	want := rows.Row{Key: key, Value: []byte{0, 1}, Version: result.Version}
	assert.DeepEqual(t, again.CurrentRows, []rows.Row{want})
	page, err := s.Read(ctx, "t", "p", "n")
	assert.NilError(t, err)
	assert.DeepEqual(t, page.Rows, []rows.Row{want})
	deleted, err := s.Commit(ctx, rows.Tx{Expect: []rows.Expectation{{Key: key, Version: result.Version}}, Delete: []rows.Key{key}})
	assert.NilError(t, err)
	page, err = s.Feed(ctx, "t", result.Version, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, page.Rows, []rows.Row{{Key: key, Version: deleted.Version, Deleted: true}})
	table.DropHistory()
	_, err = s.Feed(ctx, "t", 0, 0)
	assert.Assert(t, errors.Is(err, rows.ErrHistoryGone))
}

// Guards against a process that keeps relaying through a peer that is gone or rejected by
// the store, and against a commit that is reported as not executed although it may have
// been.
func TestAnotherProcessIsTried(t *testing.T) {
	table, down := &rowstest.Store{}, &rowstest.Store{}
	down.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.Rejected })
	s := New(peerStores{"served": table, "refused": down}, fastStore)
	s.SetPeers([]string{"gone", "refused", "served"})
	key := rows.Key{Table: "t", Name: "n"}
	applied := false
	for range 50 {
		result, err := s.Commit(context.Background(), rows.Tx{Expect: []rows.Expectation{{Key: key}}, Set: []rows.Row{{Key: key, Value: []byte("x")}}})
		if applied = err == nil && result.Applied; applied {
			break
		}
		assert.Assert(t, errors.Is(err, rows.ErrNotExecuted))
	}
	assert.Assert(t, applied)
	reply := HandleCall(context.Background(), table, nil)
	assert.Equal(t, reply.Code, jobpb.Code_CODE_INVALID)
}

// silentPeers is a Caller in which only one peer reaches the store. The others never reply.
type silentPeers struct {
	served string
	store  rows.Store
	calls  atomic.Int32
}

func (p *silentPeers) Call(ctx context.Context, address string, request *jobpb.Request) (*jobpb.Reply, error) {
	p.calls.Add(1)
	if address != p.served {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return HandleCall(ctx, p.store, request.Store), nil
}

// Guards against an owner that loses its shards because the peers through which it relays
// its renewals are cut off from the store together with it: several peers must be tried
// within the time of one call, and later calls must not start with a silent one.
func TestSilentPeersDelayACallBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &silentPeers{served: "c", store: &rowstest.Store{}}
		s := New(caller, fastStore)
		s.SetPeers([]string{"a", "b", "c"})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		_, err := s.Read(ctx, "t", "p", "")
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) <= 2*minNextPeerDelay, "answered after %v", time.Since(began))
		caller.calls.Store(0)
		began = time.Now()
		_, err = s.Read(ctx, "t", "p", "")
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, caller.calls.Load(), int32(1))
		synctest.Wait()
	})
}

// Guards against copies of each call that overload a store which is slow for all processes.
func TestSlowStoreGetsOneCopyOfACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 400 * time.Millisecond
		table := &rowstest.Store{Latency: latency}
		caller := &countingCaller{Caller: peerStores{"a": table, "b": table, "c": table}}
		s := New(caller, func() time.Duration { return latency })
		s.SetPeers([]string{"a", "b", "c"})
		_, err := s.Read(t.Context(), "t", "p", "")
		assert.NilError(t, err)
		assert.Equal(t, caller.calls.Load(), int32(1))
	})
}

// countingCaller counts the calls of another Caller.
type countingCaller struct {
	Caller
	calls atomic.Int32
}

func (c *countingCaller) Call(ctx context.Context, address string, request *jobpb.Request) (*jobpb.Reply, error) {
	c.calls.Add(1)
	return c.Caller.Call(ctx, address, request)
}

// Guards against relayed calls that are given up, and sent again through another peer, before
// a slow store has replied although its caller still waits: no relayed renewal would succeed.
func TestRelayedCallWaitsForASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency, limit = time.Second, 1500 * time.Millisecond
		table := &rowstest.Store{Latency: latency}
		caller := &countingCaller{Caller: peerStores{"a": table, "b": table, "c": table}}
		s := New(abandoningCaller{caller}, func() time.Duration { return 400 * time.Millisecond })
		s.SetPeers([]string{"a", "b", "c"})
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := s.Read(ctx, "t", "p", "")
		assert.NilError(t, err)
		assert.Equal(t, caller.calls.Load(), int32(1))
	})
}

// abandoningCaller ends calls of another Caller after the timeout of the request, as a peer does.
type abandoningCaller struct{ Caller }

func (c abandoningCaller) Call(ctx context.Context, address string, request *jobpb.Request) (*jobpb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(request.TimeoutMs))
	defer cancel()
	return c.Caller.Call(ctx, address, request)
}

// Guards against copies of each call while all peers seem silent, because the store loses
// replies: they would fill the queue of the transactions' part.
func TestCopiesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &silentPeers{}
		s := New(caller, fastStore)
		s.SetPeers([]string{"a", "b", "c"})
		const calls = 10
		for range calls {
			_, err := s.Read(t.Context(), "t", "p", "")
			assert.Assert(t, err != nil)
		}
		assert.Assert(t, caller.calls.Load() <= calls+copyBurst+calls, "%d calls", caller.calls.Load())
		synctest.Wait()
	})
}
