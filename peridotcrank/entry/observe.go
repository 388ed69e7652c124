package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"

	"peridotcrank.dev/claims"
	"peridotcrank.dev/control/plans"
	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/eventlog/metrics"
	"peridotcrank.dev/eventlog/wire"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
	"peridotcrank.dev/gateway"
	"peridotcrank.dev/peer"
	"peridotcrank.dev/routing"
	"peridotcrank.dev/settings"
	"peridotcrank.dev/store"
)

func logOptions(s settings.Settings) eventlog.Options {
	return eventlog.Options{
		Process: string(s.Member), Writer: os.Stderr, Format: eventlog.Format(s.Log.Format),
		MinLevel: logLevels[s.Log.Level], Capacity: s.Log.Timeline,
	}
}

var logLevels = map[string]eventlog.Level{
	"info": eventlog.LevelInfo, "warning": eventlog.LevelWarning, "alarm": eventlog.LevelAlarm,
}

// sessions stores which members have a session, to distinguish the end of a
// session from a failed attempt to open one.
type sessions struct {
	mu        sync.Mutex
	connected map[fleet.MemberID]bool
}

// recordSession records the start and end of sessions with other members. Failed
// attempts to open a session are summarized, because they occur several times a
// second while a member is unreachable.
func (p *Process) recordSession(e peer.SessionEvent) {
	p.sessions.mu.Lock()
	wasConnected := p.sessions.connected[e.Member]
	p.sessions.connected[e.Member] = e.Connected
	p.sessions.mu.Unlock()
	switch {
	case e.Connected:
		p.log.Record(eventlog.PeerConnected, eventlog.Fields{"peer": e.Member})
	case wasConnected:
		p.log.Record(eventlog.PeerDisconnected, eventlog.Fields{"peer": e.Member, "error": fmt.Sprint(e.Err)})
	default:
		p.summaries.add(eventlog.PeerUnreachable, string(e.Member), e.Err)
	}
}

var metricOutcomes = map[gateway.Outcome]metrics.Outcome{
	gateway.OutcomeNotRun:   metrics.OutcomeNotRun,
	gateway.OutcomeUnknown:  metrics.OutcomeUnknown,
	gateway.OutcomeAnswered: metrics.OutcomeBackendAnswered,
}

// recordRequest records the metrics and events of a request that has ended.
func (p *Process) recordRequest(o gateway.Observation) {
	service := o.Service
	if service == "" {
		service = metrics.ServiceNone
	}
	instruments := p.metrics.Service(service)
	instruments.Begin()
	instruments.End(metricOutcomes[o.Outcome], o.Duration)
	for range max(0, o.Attempts-1) {
		instruments.Retry()
	}
	p.budgets.countRequest(service, o.Outcome == gateway.OutcomeAnswered && o.Status < http.StatusInternalServerError && !o.Aborted)
	if o.Aborted {
		p.summaries.add(eventlog.ResponseCut, string(service), o.Err)
	}
	switch shed, isShed := errors.AsType[*routing.ShedError](o.Err); {
	case isShed:
		instruments.Shed(string(shed.Reason))
		p.summaries.add(eventlog.RequestsShed, string(service)+": "+string(shed.Reason), nil)
	case o.Status == http.StatusRequestTimeout:
		p.summaries.add(eventlog.SlowSender, string(service), o.Err)
	case o.Outcome == gateway.OutcomeUnknown:
		p.summaries.add(eventlog.RequestOutcomeUnknown, string(service)+": "+o.Reason, o.Err)
	case o.Outcome == gateway.OutcomeNotRun:
		p.summaries.add(eventlog.RequestRejected, string(service)+": "+o.Reason, o.Err)
	}
}

// observedClaims records metrics and events of the verdicts of a claims registry.
type observedClaims struct {
	claims.Registry
	process *Process
}

var claimNames = map[claims.Verdict]string{
	claims.VerdictUnknown: "unknown", claims.VerdictFresh: "fresh", claims.VerdictSeen: "seen", claims.VerdictFull: "full",
}

// Claim implements claims.Registry.
func (o observedClaims) Claim(ctx context.Context, key claims.Key) (claims.Verdict, error) {
	verdict, err := o.Registry.Claim(ctx, key)
	o.process.metrics.CountClaim(claimNames[verdict])
	switch verdict {
	case claims.VerdictSeen:
		o.process.summaries.add(eventlog.ClaimDuplicate, key.Service, nil)
	case claims.VerdictFull:
		o.process.summaries.add(eventlog.ClaimTableFull, key.Service, err)
	case claims.VerdictUnknown:
		code := eventlog.ClaimUnknown
		if failure, ok := errors.AsType[*claims.Error](err); ok && failure.Peer != "" {
			code = eventlog.ClaimOwnerUnreachable
		}
		o.process.summaries.add(code, key.Service, err)
	}
	return verdict, err
}

// observedTable records metrics and events of the calls to the table service.
type observedTable struct {
	store.Table
	process *Process
}

// Read implements store.Table.
func (o observedTable) Read(ctx context.Context, prefix string, since store.Version) (store.Snapshot, error) {
	snapshot, err := o.Table.Read(ctx, prefix, since)
	o.process.metrics.CountStoreRequest("read", resultLabel(store.Result{Outcome: store.OutcomeApplied}, err))
	return snapshot, err
}

// Commit implements store.Table.
func (o observedTable) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	result, err := o.Table.Commit(ctx, tx)
	o.process.metrics.CountStoreRequest("commit", resultLabel(result, err))
	switch {
	case errors.Is(err, store.ErrOutcomeUnknown):
		o.process.log.Record(eventlog.OutcomeUnresolved, eventlog.Fields{"error": err.Error()})
	case errors.Is(err, store.ErrWriteBudget):
		o.process.summaries.add(eventlog.WriteBudgetSpent, "commit", err)
	case err == nil && !result.Applied():
		o.process.log.Record(eventlog.TransactionRejected, eventlog.Fields{"operation": result.Operation, "failed": result.Failed})
	}
	return result, err
}

func resultLabel(result store.Result, err error) string {
	switch {
	case err == nil:
		return result.Outcome.String()
	case errors.Is(err, store.ErrOutcomeUnknown):
		return "unknown"
	case errors.Is(err, store.ErrWriteBudget):
		return "budget"
	}
	return "error"
}

// recordAction records an action of the plan driver and its error, if any.
func (p *Process) recordAction(a plans.Action, err error) {
	fields := eventlog.Fields{"plan": a.Plan, "step": a.String()}
	if err != nil {
		fields["error"] = err.Error()
	}
	p.log.Record(actionCode(a, err), fields)
}

func actionCode(a plans.Action, err error) eventlog.Code {
	_, lost := errors.AsType[*plans.TransactionRejectedError](err)
	switch {
	case lost && a.AcquiredEpoch > 0:
		return eventlog.TransactionRejected // Another process acquired the lease first.
	case lost:
		return eventlog.PlanLeaseLost
	case err == nil && a.AcquiredEpoch > 0:
		return eventlog.PlanLeaseTaken
	case err == nil:
		return eventlog.MoveStep
	case a.Act == move.ActReboot:
		return eventlog.RebootFailed
	case a.Act == move.ActProbe:
		return eventlog.ProbeFailed
	case a.Act == move.ActQueryDrain:
		return eventlog.DrainUnconfirmed
	}
	return eventlog.MoveStepRetried
}

// controlTraffic returns the traffic counts of this process for the metrics.
func (p *Process) controlTraffic() metrics.ControlTraffic {
	peers := p.node.Stats()
	platform := p.table.Traffic().Plus(p.platform.Traffic())
	return metrics.ControlTraffic{
		Peers: peers.Wire, Platform: platform.Totals,
		Control: classTraffic(peers.Control), Claims: classTraffic(peers.Claims),
		StoreReads: platform.Reads, StoreWrites: platform.Writes, VMLists: platform.Lists,
	}
}

func classTraffic(c peer.ClassStats) metrics.ClassTraffic {
	return metrics.ClassTraffic{
		Messages: wire.Totals{Sent: c.MessagesSent, Received: c.MessagesReceived},
		Bytes:    wire.Totals{Sent: c.BytesSent, Received: c.BytesReceived},
	}
}
