package jobproc

import (
	"context"
	"errors"
	"strings"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/eventlog/metrics"
	"peridotcrank.dev/jobs/ingress"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/worker"
)

// Values of the result label of call metrics.
const (
	resultOK       = "ok"
	resultApplied  = "applied"
	resultRejected = "rejected"
	resultRefused  = "refused"
	resultUnknown  = "unknown"
	resultFailed   = "failed"
)

// instrumentedStore records the duration and result of calls to a store.
type instrumentedStore struct {
	rows.Store
	metrics *metrics.Metrics
}

// Commit implements [rows.Store].
func (s instrumentedStore) Commit(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	began := time.Now()
	result, err := s.Store.Commit(ctx, tx)
	outcome := resultRejected
	switch {
	case errors.Is(err, rows.ErrNotExecuted):
		outcome = resultFailed
	case err != nil:
		outcome = resultUnknown
	case result.Applied:
		outcome = resultApplied
	}
	s.metrics.TimeStoreCall("commit", outcome, time.Since(began))
	return result, err
}

// Read implements [rows.Store].
func (s instrumentedStore) Read(ctx context.Context, table, part, from string) (rows.Page, error) {
	began := time.Now()
	page, err := s.Store.Read(ctx, table, part, from)
	outcome := resultOK
	if err != nil {
		outcome = resultFailed
	}
	s.metrics.TimeStoreCall("read", outcome, time.Since(began))
	return page, err
}

// instrumentedWorkers records the duration and result of orders to workers.
type instrumentedWorkers struct {
	worker.Client
	metrics *metrics.Metrics
}

func (w instrumentedWorkers) record(order string, began time.Time, err error) {
	outcome := resultOK
	switch {
	case worker.Refused(err):
		outcome = resultRefused
	case err != nil:
		outcome = resultUnknown
	}
	w.metrics.TimeWorkerOrder(order, outcome, time.Since(began))
}

// Start implements [worker.Client].
func (w instrumentedWorkers) Start(ctx context.Context, to worker.Target, order worker.Start) (worker.ClockTime, error) {
	began := time.Now()
	clock, err := w.Client.Start(ctx, to, order)
	w.record("start", began, err)
	return clock, err
}

// Stop implements [worker.Client].
func (w instrumentedWorkers) Stop(ctx context.Context, to worker.Target, task job.TaskRef, run int, fence uint64) (worker.ClockTime, error) {
	began := time.Now()
	clock, err := w.Client.Stop(ctx, to, task, run, fence)
	w.record("stop", began, err)
	return clock, err
}

// instrumentedForwarder records the duration and result of callers' requests, and logs
// those that were refused or whose outcome is unknown.
type instrumentedForwarder struct {
	forwarder *ingress.Forwarder
	metrics   *metrics.Metrics
	recorder  eventlog.Recorder
	// readLines limits the lines of reads that were not served.
	readLines *eventlog.Sampler
}

// maxReadLines limits the lines per shard, kind of call, result and second for reads that were
// not served. Submissions and cancellations have a line each.
const maxReadLines = 5

// CallAny implements [platform.Forwarder].
func (c instrumentedForwarder) CallAny(ctx context.Context, request *jobpb.Request, former []ingress.Place) *jobpb.Reply {
	began := time.Now()
	reply := c.forwarder.CallAny(ctx, request, former)
	call := strings.ToLower(strings.TrimPrefix(request.Call.String(), "CALL_"))
	result := strings.ToLower(strings.TrimPrefix(reply.Code.String(), "CODE_"))
	took := time.Since(began)
	c.metrics.TimeJobCall(call, result, took)
	switch reply.Code {
	case jobpb.Code_CODE_REFUSED, jobpb.Code_CODE_LIMITED, jobpb.Code_CODE_UNKNOWN:
		c.recordNotServed(request, call, result, took)
	}
	return reply
}

func (c instrumentedForwarder) recordNotServed(request *jobpb.Request, call, result string, took time.Duration) {
	fields := eventlog.Fields{
		"job": request.Id, "queue": request.Queue, "shard": request.Shard, "call": call, "result": result, "took": took.String(),
	}
	if request.Call != jobpb.Call_CALL_SUBMIT && request.Call != jobpb.Call_CALL_CANCEL {
		leftOut, permitted := c.readLines.Permit(strings.Join([]string{request.Shard, call, result}, " "), time.Now())
		if !permitted {
			return
		}
		fields["left_out"] = leftOut
	}
	c.recorder.Record(eventlog.CallNotServed, fields)
}

// recordPrediction records how well the duration of a task was predicted.
func (p *Process) recordPrediction(predicted, actual time.Duration) {
	p.metrics.ObserveDurationRatio(float64(actual) / float64(predicted))
}
