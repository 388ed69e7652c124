package jobproc

import (
	"context"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/eventlog/metrics"
	"peridotcrank.dev/jobs/ingress"
)

// instrumentedGate counts the calls that are not served because of the configuration or
// the key, and logs refused keys.
type instrumentedGate struct {
	*ingress.Gate
	metrics  *metrics.Metrics
	recorder eventlog.Recorder
}

// Admit implements [platform.Gate].
func (g instrumentedGate) Admit(host, path, key string) ingress.Admission {
	a := g.Gate.Admit(host, path, key)
	g.record(a.Verdict, a)
	return a
}

// Recheck implements [platform.Gate].
func (g instrumentedGate) Recheck(a ingress.Admission) ingress.Verdict {
	verdict := g.Gate.Recheck(a)
	g.record(verdict, a)
	return verdict
}

func (g instrumentedGate) record(verdict ingress.Verdict, a ingress.Admission) {
	if verdict == ingress.Admitted {
		return
	}
	g.metrics.CountCallRejection(verdict.String())
	if verdict == ingress.KeyRefused {
		g.recorder.Record(eventlog.KeyRefused, eventlog.Fields{
			"queue": a.Route.Queue, "fingerprint": a.Fingerprint(), "workspace": a.Workspace,
		})
	}
}

// validityCheckInterval is the time between two checks whether keys can be accepted.
const validityCheckInterval = 100 * time.Millisecond

// watchValidity logs when the process stops accepting keys because its configuration is
// not confirmed, and when it accepts them again. The first configuration after the start is
// not logged as regained validity.
func (p *Process) watchValidity(ctx context.Context) {
	if p.currentSettings().Keys.Revoke == 0 {
		return
	}
	ticker := time.NewTicker(validityCheckInterval)
	defer ticker.Stop()
	wasReady := p.gate.Ready()
	started := wasReady
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if ready := p.gate.Ready(); ready != wasReady {
			if started {
				p.recordValidity(ready)
			}
			started, wasReady = true, ready
		}
	}
}

func (p *Process) recordValidity(valid bool) {
	code := eventlog.ValidityLost
	if valid {
		code = eventlog.ValidityRegained
	}
	fields := eventlog.Fields{}
	if age, ok := p.gate.ConfirmationAge(); ok {
		fields["confirmation_age"] = age.String()
	}
	p.log.Record(code, fields)
}
