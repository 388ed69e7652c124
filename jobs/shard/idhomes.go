package shard

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

// The rows of the IDs that callers submit at an address are in one part of the store, whatever pool
// runs the jobs. It is the part of the first pool that got a job there, so that a pool stores its
// jobs without rows of other parts until a queue is moved. A row names that part and never changes.

// tableIDHome is the table of the parts of the rows of IDs, by the address of the queue.
const tableIDHome = "idhome"

// homeRequest is a request for the part of the rows of IDs at an address.
type homeRequest struct {
	since   time.Duration
	waiting []*jobState // The jobs that are stored once it is known.
}

func homeKey(address job.QueueAddress) rows.Key {
	return rows.Key{Table: tableIDHome, Name: hashedName(address.Host, address.Prefix)}
}

// queueInsert queues a job for the next transaction, once the part of the row of its ID is known.
func (s *Shard) queueInsert(js *jobState) {
	address := s.callersAddress(js.job.Queue)
	if part, known := s.idHomes[address]; known {
		s.insertWithID(js, part)
		return
	}
	request, pending := s.homeRequests[address]
	if !pending {
		request.since = s.opts.Clock()
		s.requestHome(address)
	}
	request.waiting = append(request.waiting, js)
	s.homeRequests[address] = request
}

// requestHome proposes the part of this pool for the rows of IDs at an address, and learns which
// one it is.
func (s *Shard) requestHome(address job.QueueAddress) {
	key := homeKey(address)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		part, err := s.proposeHome(ctx, key)
		s.opts.Loop.Post(func() { s.handleHome(address, part, err) })
	}()
}

func (s *Shard) proposeHome(ctx context.Context, key rows.Key) (part string, err error) {
	value, err := proto.Marshal(&jobpb.IDHome{Part: s.opts.Pool})
	if err != nil {
		return "", err
	}
	result, err := s.opts.Store.Commit(ctx, rows.Tx{Expect: []rows.Expectation{{Key: key}}, Set: []rows.Row{{Key: key, Value: value}}})
	if err != nil || result.Applied {
		return s.opts.Pool, err
	}
	home := &jobpb.IDHome{}
	for _, row := range result.CurrentRows {
		if row.Key == key {
			err = proto.Unmarshal(row.Value, home)
		}
	}
	return home.Part, err
}

// handleHome stores the jobs that waited for the part of the rows of their IDs, or asks again.
func (s *Shard) handleHome(address job.QueueAddress, part string, err error) {
	if s.stopped {
		return
	}
	if err != nil || part == "" {
		s.recordEvent(eventlog.IDHomeUnknown, eventlog.Fields{"host": address.Host, "prefix": address.Prefix, "error": err})
		s.opts.Loop.After(commitRetryDelay, func() { s.requestHome(address) })
		return
	}
	s.idHomes[address] = part
	for _, js := range s.homeRequests[address].waiting {
		s.insertWithID(js, part)
	}
	delete(s.homeRequests, address)
	s.flush()
}

// insertWithID queues a job whose ID has its row in a part.
func (s *Shard) insertWithID(js *jobState, part string) {
	if part != s.opts.Pool {
		js.job.IDPart = part
	}
	s.journal.inserts = append(s.journal.inserts, js)
}

// homeIsLate reports whether the part of the rows of a queue's IDs has been requested for so long
// that new jobs are refused.
func (s *Shard) homeIsLate(queue job.Queue) bool {
	request, pending := s.homeRequests[s.callersAddress(queue)]
	return pending && s.isLate(request)
}

func (s *Shard) isLate(request homeRequest) bool {
	return s.opts.Clock()-request.since > slowCommitAge
}
