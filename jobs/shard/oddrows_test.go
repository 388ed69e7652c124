package shard

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

// Guards against takeovers that wait for the lease of a worker that was never used, because
// an entry of the registry names one that does not exist.
func TestTakeoverDoesNotWaitForWorkersWithoutAnyReply(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		odd := r.workerInfos[0]
		odd.ID, odd.Address = "odd", "10.0.0.1:1"
		r.workerInfos = append(r.workerInfos, odd)
		o := r.startOwner()
		time.Sleep(2 * time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 30)).Code, OK)
		time.Sleep(500 * time.Millisecond)
		o = r.replaceOwner(o)
		time.Sleep(1500 * time.Millisecond)
		unaccounted := 0
		o.callOnLoop(func() { unaccounted = o.unaccountedWorkers })
		assert.Equal(t, unaccounted, 0)
		r.awaitState(o, 1, job.Completed, 15*time.Second)
	})
}

// Guards against an owner that fails again and again because a row of its shard decodes to
// values that no owner writes.
func TestOddRowsDoNotEndAShard(t *testing.T) {
	odd := map[string][]byte{
		tableProgress: encode(t, &jobpb.Progress{Steps: []*jobpb.StepProgress{
			{Done: []byte{0xff, 0xff}, Failures: []*jobpb.Failure{{Task: -2, Run: -1}, {Task: 1 << 30, Run: 1}, {Task: gangFailure, Run: 2}}}, {}, {},
		}}),
		tableWorker: encode(t, &jobpb.KnownWorker{Address: "10.0.0.1:99999", BornUnixMs: 1 << 62}),
		QueueTable:  encode(t, &jobpb.Queue{Name: string(testQueue), Pool: testPool, Attempts: -1 << 63, Stretch: -1e300, ObjectiveNs: 1 << 62}),
	}
	for table, value := range odd {
		t.Run(table, func(t *testing.T) {
			onFakeTime(t, func(r *rig) {
				r.addWorkers(2)
				o := r.startOwner()
				time.Sleep(time.Second)
				assert.Equal(t, r.submit(o, simpleJob(1, 30)).Code, OK)
				key := rows.Key{Table: table, Part: testPool, Name: string(testJobID(1))}
				if table == QueueTable {
					key.Part = ""
				}
				o.callOnLoop(o.Stop)
				r.store.Put(rows.Row{Key: key, Value: value})
				o = r.startOwner()
				time.Sleep(20 * time.Second)
				assert.Equal(t, r.submit(o, simpleJob(2, 1)).Code, OK)
				r.awaitState(o, 2, job.Completed, 15*time.Second)
			})
		})
	}
}

func encode(t testing.TB, m proto.Message) []byte {
	value, err := proto.Marshal(m)
	assert.NilError(t, err)
	return value
}

// FuzzRestoredRows guards against rows that end their owner.
func FuzzRestoredRows(f *testing.F) {
	f.Add(encode(f, &jobpb.Progress{Steps: []*jobpb.StepProgress{{Done: []byte{1}, Failures: []*jobpb.Failure{{Task: -7, Run: 1}}}}}))
	f.Add(encode(f, job.ToRecord(simpleJob(1, 3))))
	f.Add(encode(f, &jobpb.Queue{Name: "q", Attempts: 1, Advice: &jobpb.Advice{CallNs: -1}}))
	f.Fuzz(func(t *testing.T, value []byte) {
		if j, err := job.Unmarshal(value); err == nil && j.Validate() == nil {
			newTestJobState(j)
		}
		if progress := (&jobpb.Progress{}); proto.Unmarshal(value, progress) == nil {
			newTestJobState(simpleJob(1, 3)).restoreProgress(progress)
		}
		if record, err := DecodeQueue(rows.Row{Value: value}); err == nil {
			stored := newStoredQueue(record)
			assert.Assert(t, proto.Equal(newStoredQueue(stored.record("p", "q")).record("p", "q"), stored.record("p", "q")))
		}
	})
}
