package shard

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/jobs/bounded"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/worker"
)

// maxQueueAddresses bounds the former addresses that the row of a queue keeps.
const maxQueueAddresses = 32

// storedQueue is a queue as its row describes it.
type storedQueue struct {
	config    Queue
	addresses []job.QueueAddress // Oldest first.
}

// queueKey returns the key of the row of a queue in a pool. The names of both may be longer
// than the name of a row.
func queueKey(pool string, queue job.Queue) rows.Key {
	return rows.Key{Table: QueueTable, Name: hashedName(pool, string(queue))}
}

// hashedName returns a name of limited length for a pair of texts.
func hashedName(first, second string) string {
	digest := sha256.Sum256([]byte(first + "\x00" + second))
	return hex.EncodeToString(digest[:])
}

// DecodeQueue decodes a row of [QueueTable].
func DecodeQueue(row rows.Row) (*jobpb.Queue, error) {
	record := &jobpb.Queue{}
	message, err := rows.Unpack(row.Value)
	if err == nil {
		err = proto.Unmarshal(message, record)
	}
	if err != nil {
		return nil, fmt.Errorf("decode row %s of a queue: %w", row.Name, err)
	}
	return record, nil
}

// noteQueue updates what the row of a queue is to contain, and reports whether the row has
// to be written.
func (s *Shard) noteQueue(name job.Queue) (changed bool) {
	config := s.queues[name]
	stored, ok := s.storedQueues[name]
	if ok && stored.config == config {
		return false
	}
	stored.config = config
	stored.addAddress(config.Address)
	s.storedQueues[name] = stored
	return true
}

func (q *storedQueue) addAddress(address job.QueueAddress) {
	if address == (job.QueueAddress{}) {
		return
	}
	q.addresses = slices.DeleteFunc(slices.Clone(q.addresses), func(other job.QueueAddress) bool { return other == address })
	q.addresses = append(q.addresses, address)
	if excess := len(q.addresses) - maxQueueAddresses; excess > 0 {
		q.addresses = q.addresses[excess:]
	}
}

// keepUsedQueues updates the rows of all queues of which the shard has jobs. A queue of
// which nothing is known gets none: a former build stored its jobs.
func (s *Shard) keepUsedQueues() {
	for name := range s.usedQueues() {
		if _, ok := s.queues[name]; ok && s.noteQueue(name) {
			s.journal.queueRows[name] = struct{}{}
		}
	}
}

// usedQueues returns the queues of the jobs that the shard has, including ended ones.
func (s *Shard) usedQueues() map[job.Queue]bool {
	used := map[job.Queue]bool{}
	for _, js := range s.jobs {
		used[js.job.Queue] = true
	}
	for _, e := range s.ended {
		used[e.queue] = true
	}
	return used
}

// removeUnusedQueues deletes the rows of the queues of which the shard has no jobs. The
// queue of a job that cannot be decoded is not known, so then all rows stay.
func (s *Shard) removeUnusedQueues() {
	if len(s.storedQueues) == 0 || len(s.unreadable) > 0 {
		return
	}
	used := s.usedQueues()
	for name := range s.storedQueues {
		if used[name] {
			continue
		}
		delete(s.storedQueues, name)
		delete(s.journal.queueRows, name)
		s.journal.deletions = append(s.journal.deletions, queueKey(s.opts.Pool, name))
	}
}

// hasQueueRow reports whether a key is that of the row of a stored queue.
func (s *Shard) hasQueueRow(key rows.Key) bool {
	for name := range s.storedQueues {
		if queueKey(s.opts.Pool, name) == key {
			return true
		}
	}
	return false
}

// addRowOfQueue adds the row of a queue to the transaction that stores a job of it, unless
// the row is up to date. So no job is ever stored without the row.
func (s *Shard) addRowOfQueue(b *batch, name job.Queue) error {
	if _, due := s.journal.queueRows[name]; !s.noteQueue(name) && !due {
		return nil
	}
	return s.writeQueue(b, name)
}

// addQueueRows adds the changed rows of queues.
func (s *Shard) addQueueRows(b *batch) error {
	for name := range s.journal.queueRows {
		if b.full() {
			return nil
		}
		if err := s.writeQueue(b, name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Shard) writeQueue(b *batch, name job.Queue) error {
	delete(s.journal.queueRows, name)
	b.tx.CrossPart = true
	return b.setRow(queueKey(s.opts.Pool, name), s.storedQueues[name].record(s.opts.Pool, name))
}

// loadQueues reads the rows of the shard's queues.
func (s *Shard) loadQueues(ctx context.Context) (queues []*jobpb.Queue, err error) {
	err = s.readPart(ctx, QueueTable, "", func(row rows.Row) error {
		record, err := DecodeQueue(row)
		if err == nil && record.Pool == s.opts.Pool {
			queues = append(queues, record)
		}
		return err
	})
	return queues, err
}

// restoreQueues restores the queues from their rows. The configuration in force goes first;
// a queue that it no longer has keeps the one in its row.
func (s *Shard) restoreQueues(records []*jobpb.Queue) {
	for _, record := range records {
		stored := newStoredQueue(record)
		name := job.Queue(record.Name)
		s.storedQueues[name] = stored
		if _, ok := s.queues[name]; !ok {
			s.queues[name] = stored.config
		}
	}
}

func newStoredQueue(record *jobpb.Queue) storedQueue {
	advice := record.GetAdvice()
	q := storedQueue{config: Queue{
		Attempts: int(record.Attempts), Priority: int(record.Priority), Stretch: record.Stretch, Objective: bounded.Duration(time.Duration(record.ObjectiveNs)),
		Advice: worker.AdvicePolicy{
			CallDuration: bounded.Duration(time.Duration(advice.GetCallNs())), DurationPerWorker: bounded.Duration(time.Duration(advice.GetPerWorkerNs())),
			TicketValidity: bounded.Duration(time.Duration(advice.GetTicketValidityNs())),
		},
	}}
	for _, a := range record.Addresses {
		q.config.Address = job.QueueAddress{Host: a.Host, Prefix: a.Prefix}
		q.addresses = append(q.addresses, q.config.Address)
	}
	return q
}

func (q storedQueue) record(pool string, name job.Queue) *jobpb.Queue {
	record := &jobpb.Queue{
		Name: string(name), Pool: pool, Attempts: int64(q.config.Attempts), Priority: int64(q.config.Priority),
		Stretch: q.config.Stretch, ObjectiveNs: q.config.Objective.Nanoseconds(),
		Advice: &jobpb.Advice{
			CallNs: q.config.Advice.CallDuration.Nanoseconds(), PerWorkerNs: q.config.Advice.DurationPerWorker.Nanoseconds(),
			TicketValidityNs: q.config.Advice.TicketValidity.Nanoseconds(),
		},
	}
	for _, a := range q.addresses {
		record.Addresses = append(record.Addresses, &jobpb.QueueAddress{Host: a.Host, Prefix: a.Prefix})
	}
	return record
}
