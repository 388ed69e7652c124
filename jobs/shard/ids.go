package shard

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

// This file keeps one ID from becoming two jobs. Processes with different configurations may send
// the same submission to different pools. So the transaction that stores a job also creates the
// row of its ID, and expects that there is none. All pools have the rows for the callers of an
// address in the same part, which is that of the first pool there (idhomes.go).

// tableID is the table of the IDs of all stored jobs.
const tableID = "id"

// idKey returns the key of the row of an ID. part is the job's [job.Job.IDPart].
func (s *Shard) idKey(id job.ID, part string) rows.Key {
	return rows.Key{Table: tableID, Part: cmp.Or(part, s.opts.Pool), Name: string(id)}
}

// addID adds the row of a job's ID to the transaction that stores the job.
func (s *Shard) addID(b *batch, j *job.Job) error {
	key, address := s.idKey(j.ID, j.IDPart), s.callersAddress(j.Queue)
	b.tx.Expect = append(b.tx.Expect, rows.Expectation{Key: key})
	b.tx.CrossPart = b.tx.CrossPart || key.Part != s.opts.Pool
	return b.setRow(key, &jobpb.JobPlace{
		Pool: s.opts.Pool, Queue: string(j.Queue), Workspace: string(j.Workspace),
		Address: &jobpb.QueueAddress{Host: address.Host, Prefix: address.Prefix},
	})
}

// takenIDs returns the rows of the IDs in a rejected transaction that already exist, by their
// jobs. It returns none if the head row has changed: then another owner has written it.
func (s *Shard) takenIDs(b *batch, current []rows.Row) map[*jobState]rows.Row {
	head := b.tx.Expect[0]
	if !slices.ContainsFunc(current, func(row rows.Row) bool { return row.Key == head.Key && row.Version == head.Version && !row.Deleted }) {
		return nil
	}
	taken := map[*jobState]rows.Row{}
	for _, js := range b.inserts {
		for _, row := range current {
			if row.Key == s.idKey(js.job.ID, js.job.IDPart) && !row.Deleted {
				taken[js] = row
			}
		}
	}
	return taken
}

// dropTakenJobs removes the jobs whose IDs are taken from a rejected transaction, and replies to
// their callers. An earlier attempt of the transaction cannot take effect any more, since the rows
// of these IDs outlast it.
func (s *Shard) dropTakenJobs(b *batch, taken map[*jobState]rows.Row) {
	dropped := map[rows.Key]bool{}
	for js := range taken {
		dropped[s.idKey(js.job.ID, js.job.IDPart)], dropped[s.rowKey(tableJob, string(js.job.ID))] = true, true
	}
	// The attempt may still read the lists of the transaction, so they are copied.
	b.tx.Expect = slices.DeleteFunc(slices.Clone(b.tx.Expect), func(e rows.Expectation) bool { return dropped[e.Key] })
	b.tx.Set = slices.DeleteFunc(slices.Clone(b.tx.Set), func(row rows.Row) bool { return dropped[row.Key] })
	b.inserts = slices.DeleteFunc(b.inserts, func(js *jobState) bool { _, ok := taken[js]; return ok })
	for js, row := range taken {
		s.dropTakenJob(js, row)
	}
}

// dropTakenJob forgets a job that was not stored because its ID is taken.
func (s *Shard) dropTakenJob(js *jobState, row rows.Row) {
	s.forgetJob(js)
	s.removeExcess(js)
	place, err := decodeJobPlace(row)
	if err != nil {
		s.recordEvent(eventlog.JobRowUnreadable, eventlog.Fields{"table": row.Table, "row": row.Name, "version": row.Version, "error": err})
		js.replyToSubmissions(Result{Code: Unknown})
		js.replyToCancellations(Result{Code: Unknown})
		return
	}
	s.recordEvent(eventlog.JobIDTaken, eventlog.Fields{"job": js.job.ID, "queue": js.job.Queue, "stored_queue": place.Queue, "stored_shard": place.Pool})
	js.replyToSubmissions(s.resultOfTaken(js.job, place))
	js.replyToCancellations(Result{Code: NotFound})
}

func decodeJobPlace(row rows.Row) (*jobpb.JobPlace, error) {
	place := &jobpb.JobPlace{}
	message, err := rows.Unpack(row.Value)
	if err != nil {
		return nil, err
	}
	return place, proto.Unmarshal(message, place)
}

// resultOfTaken returns the result of the submission of a job whose ID is taken by a job that is
// stored in a place.
func (s *Shard) resultOfTaken(j *job.Job, place *jobpb.JobPlace) Result {
	address := job.QueueAddress{Host: place.GetAddress().GetHost(), Prefix: place.GetAddress().GetPrefix()}
	switch {
	case place.Pool == s.opts.Pool:
		return Result{Code: Unknown} // The rows of that job are about to be deleted.
	case job.Queue(place.Queue) != j.Queue && s.callersAddress(j.Queue) != address:
		return Result{Code: Conflict}
	}
	return accessResult(job.Workspace(place.Workspace), j.Workspace)
}

// callersAddress returns where callers find a queue. A queue without an address stands for itself.
func (s *Shard) callersAddress(queue job.Queue) job.QueueAddress {
	return cmp.Or(s.queues[queue].Address, job.QueueAddress{Prefix: string(queue)})
}

// servesSameCallers reports whether callers of one queue find the jobs of another one: it is the
// same, or its successor at an address.
func (s *Shard) servesSameCallers(queue, stored job.Queue) bool {
	address := s.callersAddress(queue)
	return queue == stored || address == s.callersAddress(stored) || slices.Contains(s.storedQueues[stored].addresses, address)
}
