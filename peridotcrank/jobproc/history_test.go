package jobproc

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/ingress"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/jobs/shard"
	"peridotcrank.dev/platform"
)

// withoutHistory is a store that does not serve the table of queues while unavailable is set.
type withoutHistory struct {
	rows.Store
	unavailable atomic.Bool
}

func (s *withoutHistory) Read(ctx context.Context, table, part, from string) (rows.Page, error) {
	if table == shard.QueueTable && s.unavailable.Load() {
		return rows.Page{}, errors.New("unavailable")
	}
	return s.Store.Read(ctx, table, part, from)
}

func putConfig(store *rowstest.Store, text string) {
	store.Put(rows.Row{Key: rows.Key{Table: platform.OperatorTable, Name: "config"}, Value: []byte(text)})
}

func putQueue(t *testing.T, store *rowstest.Store, name, pool string) {
	value, err := proto.Marshal(&jobpb.Queue{Name: name, Pool: pool, Addresses: []*jobpb.QueueAddress{{Host: "h", Prefix: "/q/"}}})
	assert.NilError(t, err)
	store.Put(rows.Row{Key: rows.Key{Table: shard.QueueTable, Name: name + "@" + pool}, Value: value})
}

// Guards against a process that starts after a queue was moved and takes the jobs in its
// former pool for unknown, so that a repeated submission runs twice.
func TestProcessStartedAfterAMoveKnowsTheFormerPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(2 * historyFeedWait) // Calls to the store in flight end.
		defer cancel()
		table := &rowstest.Store{Latency: time.Millisecond}
		store := &withoutHistory{Store: table}
		p, out := newOwnerProcess(t, ctx, store)
		p.gate = ingress.NewGate(ingress.GateOptions{Clock: p.clock.Now})
		p.history = ingress.NewQueueHistory()
		admit := func() ingress.Admission { return p.gate.Admit("h", "/q/1", "") }
		formerPlaces := func() []ingress.Place { return admit().Route.FormerPlaces }

		putQueue(t, table, "q", "a")
		putQueue(t, table, "unrelated", "b")
		table.Put(rows.Row{Key: rows.Key{Table: shard.QueueTable, Name: "odd"}, Value: []byte{0xff}})
		putConfig(table, `{"version":5,"routes":[{"name":"q","host":"h","prefix":"/q/","service":"b"}],"services":[{"name":"a"},{"name":"b"}]}`)
		store.unavailable.Store(true)
		operator, queues := p.operatorTableWatcher(), p.queueRowsWatcher()
		go operator.Run(ctx)
		go queues.Run(ctx)
		time.Sleep(3 * time.Second)
		assert.Equal(t, admit().Verdict, ingress.NotConfigured)

		store.unavailable.Store(false)
		time.Sleep(time.Second)
		assert.Equal(t, admit().Verdict, ingress.Admitted)
		assert.DeepEqual(t, formerPlaces(), []ingress.Place{{Queue: "q", Pool: "a"}, {Queue: "unrelated", Pool: "b"}})
		assert.Assert(t, out.count("job-row-unreadable") > 0)

		putQueue(t, table, "q", "c") // A job of a process with an older configuration.
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, len(formerPlaces()), 3)
		store.unavailable.Store(true)
		putConfig(table, `{"version":7,"routes":[{"name":"q","host":"h","prefix":"/q/","service":"c"}],"services":[{"name":"c"}]}`)
		time.Sleep(3 * time.Second)
		assert.Equal(t, admit().Route.Pool, "b")
		store.unavailable.Store(false)
		time.Sleep(time.Second)
		assert.Equal(t, admit().Route.Pool, "c")
	})
}
