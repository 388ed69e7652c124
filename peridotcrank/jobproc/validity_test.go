package jobproc

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog/metrics"
	"peridotcrank.dev/jobs/cluster"
	"peridotcrank.dev/jobs/ingress"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/platform"
)

const (
	testRevokeTime  = 5 * time.Second // bounds.revoke-ms
	configApplyTime = 3 * time.Second // bounds.config-apply-ms
)

// reachability is how a store treats the feed calls and reads of a process.
type reachability uint8

const (
	reachable reachability = iota
	refusing               // Calls fail at once.
	silent                 // Calls get no reply.
	losesOne               // The next call gets no reply, later ones do.
)

// partitionedStore is a store that a process can be disconnected from.
type partitionedStore struct {
	rows.Store
	mu               sync.Mutex
	mode             reachability
	started, replied int // Feed calls.
}

func (s *partitionedStore) setMode(mode reachability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

func (s *partitionedStore) counts() (started, replied int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started, s.replied
}

func (s *partitionedStore) beginCall() reachability {
	s.mu.Lock()
	defer s.mu.Unlock()
	mode := s.mode
	if mode == losesOne {
		s.mode = reachable
	}
	return mode
}

func (s *partitionedStore) call(ctx context.Context, read func() (rows.Page, error)) (rows.Page, error) {
	switch s.beginCall() {
	case refusing:
		return rows.Page{}, rows.ErrNotExecuted
	case silent, losesOne:
		<-ctx.Done()
		return rows.Page{}, ctx.Err()
	}
	return read()
}

func (s *partitionedStore) Read(ctx context.Context, table, part, from string) (rows.Page, error) {
	return s.call(ctx, func() (rows.Page, error) { return s.Store.Read(ctx, table, part, from) })
}

func (s *partitionedStore) Feed(ctx context.Context, table string, after rows.Version, wait time.Duration) (rows.Page, error) {
	s.mu.Lock()
	s.started++
	s.mu.Unlock()
	page, err := s.call(ctx, func() (rows.Page, error) { return s.Store.Feed(ctx, table, after, wait) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replied++
	return page, err
}

// keyRig is a process with workspaces on fake time. Its shards are replaced by an owner
// that carries out each call.
type keyRig struct {
	t         *testing.T
	process   *Process
	out       *logBuffer
	table     *rowstest.Store
	store     *partitionedStore
	handler   http.Handler
	suspended atomic.Int64 // Time that only the clock of the process has counted, in nanoseconds.
	// duringCall is called while the owner carries out a call.
	duringCall func()
}

// onKeyRig runs a test with a process that has started with the store in a mode. The
// configuration has the version 1 and the key "key-a".
func onKeyRig(t *testing.T, mode reachability, test func(*keyRig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(10 * time.Second) // Calls to the store in flight end.
		defer cancel()
		r := &keyRig{t: t, table: &rowstest.Store{Latency: 5 * time.Millisecond}, duringCall: func() {}}
		r.store = &partitionedStore{Store: r.table, mode: mode}
		r.process, r.out = newOwnerProcess(t, ctx, r.store)
		p, began := r.process, time.Now()
		collector, err := metrics.New()
		assert.NilError(t, err)
		p.metrics, p.history = collector, ingress.NewQueueHistory()
		s := p.currentSettings()
		s.Keys.Revoke = testRevokeTime
		p.settings.Store(&s)
		p.gate = ingress.NewGate(ingress.GateOptions{
			Clock: func() time.Duration { return time.Since(began) + time.Duration(r.suspended.Load()) }, RevokeTime: s.Keys.Revoke,
		})
		p.forwarder = ingress.NewForwarder(ingress.Options{Local: func(context.Context, *jobpb.Request) *jobpb.Reply {
			r.duringCall()
			return &jobpb.Reply{Code: jobpb.Code_CODE_OK, State: jobpb.State_STATE_RUNNING}
		}})
		p.forwarder.SetDirectory(cluster.Directory{"pool": {Self: true}})
		r.handler = p.newCallerHandler()
		r.setKeys(1, "key-a")
		watcher := p.operatorTableWatcher()
		go watcher.Run(ctx)
		go p.watchValidity(ctx)
		time.Sleep(2500 * time.Millisecond)
		test(r)
	})
}

// setKeys writes a configuration with the keys of one workspace.
func (r *keyRig) setKeys(version int, keys string) {
	r.writeConfig(fmt.Sprintf(`{"version":%d,"routes":[{"name":"keyed","host":"h","prefix":"/k/","service":"pool"},`+
		`{"name":"public","host":"h","prefix":"/p/","service":"pool","public":true}],"services":[{"name":"pool"}],`+
		`"tenants":[{"name":"team","api-keys":["%s"]}]}`, version, keys))
}

func (r *keyRig) writeConfig(text string) {
	r.table.Put(rows.Row{Key: rows.Key{Table: platform.OperatorTable, Name: "config"}, Value: []byte(text)})
}

func (r *keyRig) call(method, path, key, body string) int {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(method, "http://h"+path, strings.NewReader(body))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	r.handler.ServeHTTP(recorder, request)
	return recorder.Code
}

func (r *keyRig) get(key string) int { return r.call("GET", "/k/5c0e7a21d94b36f8", key, "") }

func (r *keyRig) readiness() int {
	recorder := httptest.NewRecorder()
	r.process.ready.Store(true)
	r.process.serveReady(recorder, nil)
	return recorder.Code
}

// awaitStatus waits until a call with the key has the status, and returns how long it took.
func (r *keyRig) awaitStatus(key string, status int, limit time.Duration) time.Duration {
	r.t.Helper()
	began := time.Now()
	for r.get(key) != status {
		if time.Since(began) > limit {
			r.t.Fatalf("a call with %s gets %d after %v, want %d", key, r.get(key), limit, status)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// Guards against a removed key that is accepted, and against public routes that are not
// served, at a process that cannot reach the store.
func TestRemovedKeyAtDisconnectedProcess(t *testing.T) {
	for _, mode := range []reachability{refusing, silent} {
		onKeyRig(t, reachable, func(r *keyRig) {
			assert.Equal(t, r.get("key-a"), 200)
			r.store.setMode(mode)
			// A feed call that was sent before gets its reply.
			time.Sleep(1100 * time.Millisecond)
			r.setKeys(2, "key-b")
			assert.Equal(t, r.get("key-a"), 200)
			r.awaitStatus("key-a", 503, testRevokeTime)
			assert.Equal(t, r.readiness(), 503)
			for range 200 {
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, r.get("key-a"), 503)
				assert.Equal(t, r.get("key-b"), 503)
				assert.Equal(t, r.call("GET", "/p/5c0e7a21d94b36f8", "", ""), 200)
			}
			r.store.setMode(reachable)
			r.awaitStatus("key-b", 200, configApplyTime)
			assert.Equal(t, r.get("key-a"), 401)
			assert.Equal(t, r.readiness(), 200)
			time.Sleep(validityCheckInterval)
			assert.Equal(t, r.out.count("validity-lost"), 1)
		})
	}
}

// Guards against changed keys that take effect too late at a process that reaches the
// store.
func TestChangedKeysApplyInTime(t *testing.T) {
	onKeyRig(t, reachable, func(r *keyRig) {
		assert.Equal(t, r.get("key-b"), 401)
		r.setKeys(2, "key-b")
		r.awaitStatus("key-b", 200, configApplyTime)
		assert.Equal(t, r.get("key-a"), 401)
	})
}

// Guards against calls that waited in a socket while the process was frozen and are then
// served by the old configuration, also after the reply to a read that was sent before.
func TestFrozenProcess(t *testing.T) {
	onKeyRig(t, reachable, func(r *keyRig) {
		assert.Equal(t, r.get("key-a"), 200)
		started, _ := r.store.counts()
		r.suspended.Store(int64(10 * time.Second))
		assert.Equal(t, r.get("key-a"), 503)
		r.awaitStatus("key-a", 200, 3*time.Second)
		_, replied := r.store.counts()
		assert.Assert(t, replied > started, "served after %d replies, %d calls had been sent before the pause", replied, started)
	})
}

// Guards against a start that is logged as the end of an outage, and against an outage
// whose end is not logged.
func TestValidityEvents(t *testing.T) {
	onKeyRig(t, reachable, func(r *keyRig) {
		assert.Equal(t, r.out.count("validity-regained"), 0)
		r.store.setMode(refusing)
		r.awaitStatus("key-a", 503, 2*testRevokeTime)
		r.store.setMode(reachable)
		r.awaitStatus("key-a", 200, configApplyTime)
		time.Sleep(validityCheckInterval)
		assert.Equal(t, r.out.count("validity-lost"), 1)
		assert.Equal(t, r.out.count("validity-regained"), 1)
	})
}

// Guards against one lost reply that ends the validity.
func TestLostReplyKeepsValidity(t *testing.T) {
	onKeyRig(t, reachable, func(r *keyRig) {
		r.store.setMode(losesOne)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, r.get("key-a"), 200)
		}
	})
}

// Guards against a read that brought a new configuration and confirms the old one before
// the new one is in force.
func TestConfirmationWaitsForTheConfiguration(t *testing.T) {
	onKeyRig(t, reachable, func(r *keyRig) {
		r.process.loop.Post(func() { time.Sleep(20 * time.Second) })
		r.setKeys(2, "key-b")
		time.Sleep(testRevokeTime)
		for range 100 {
			assert.Equal(t, r.get("key-a"), 503)
			time.Sleep(100 * time.Millisecond)
		}
		r.awaitStatus("key-b", 200, 10*time.Second)
		assert.Equal(t, r.get("key-a"), 401)
	})
}

// Guards against a configuration that is confirmed by reads of a row that cannot be
// decoded, has no configuration or has an older version.
func TestOtherRowsDoNotConfirm(t *testing.T) {
	for name, change := range map[string]func(*keyRig){
		"malformed": func(r *keyRig) { r.writeConfig(`{"version":3,"tenants":5}`) },
		"older":     func(r *keyRig) { r.setKeys(1, "key-b") },
		"missing": func(r *keyRig) {
			_, err := r.table.Commit(context.Background(), rows.Tx{Delete: []rows.Key{{Table: platform.OperatorTable, Name: "config"}}})
			assert.NilError(r.t, err)
		},
	} {
		onKeyRig(t, reachable, func(r *keyRig) {
			r.setKeys(2, "key-a")
			time.Sleep(time.Second)
			change(r)
			r.awaitStatus("key-a", 503, testRevokeTime)
			time.Sleep(10 * time.Second)
			assert.Equal(t, r.get("key-a"), 503, name)
			assert.Equal(t, r.get("key-b"), 503, name)
			r.setKeys(4, "key-a")
			r.awaitStatus("key-a", 200, configApplyTime)
		})
	}
}

// Guards against a process that serves calls after its start before it has read the
// configuration.
func TestStartWithoutStore(t *testing.T) {
	onKeyRig(t, refusing, func(r *keyRig) {
		assert.Equal(t, r.get("key-a"), 503)
		assert.Equal(t, r.readiness(), 503)
		r.store.setMode(reachable)
		r.awaitStatus("key-a", 200, configApplyTime)
	})
}

// Guards against a success that is reported after the validity ended during the call.
func TestValidityEndsDuringCall(t *testing.T) {
	onKeyRig(t, reachable, func(r *keyRig) {
		suspendDuring := func(method, body string) int {
			r.awaitStatus("key-a", 200, testRevokeTime)
			r.duringCall = func() { r.suspended.Add(int64(testRevokeTime)) }
			defer func() { r.duringCall = func() {} }()
			return r.call(method, "/k/5c0e7a21d94b36f8", "key-a", body)
		}
		assert.Equal(t, suspendDuring("POST", `{"steps":[{"count":1}]}`), 504)
		assert.Equal(t, suspendDuring("DELETE", ""), 504)
		assert.Equal(t, suspendDuring("GET", ""), 503)
	})
}

// Guards against keys in the log, and against refused keys that operators cannot find.
func TestKeysAreNotLogged(t *testing.T) {
	onKeyRig(t, reachable, func(r *keyRig) {
		assert.Equal(t, r.get("abc"), 401)
		assert.Equal(t, r.get("key-a"), 200)
		assert.Equal(t, r.out.count("key-refused"), 1)
		r.out.mu.Lock()
		defer r.out.mu.Unlock()
		text := r.out.text.String()
		assert.Assert(t, strings.Contains(text, "ba7816bf") && !strings.Contains(text, "abc") && !strings.Contains(text, "key-a"), text)
	})
}
