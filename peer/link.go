package peer

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/yamux"

	"peridotcrank.dev/fleet"
)

// link maintains a session to one member while the member is in the view.
type link struct {
	node    *Node
	member  fleet.Member
	ctx     context.Context
	cancel  context.CancelFunc
	callers [classCount]atomic.Pointer[caller] // nil without a session.
}

func newLink(node *Node, member fleet.Member) *link {
	l := &link{node: node, member: member}
	l.ctx, l.cancel = context.WithCancel(node.ctx)
	return l
}

// run establishes one session after another until the link is cancelled. The
// delay between attempts grows while sessions cannot be established.
func (l *link) run() {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = l.node.config.MinBackoff
	retryDelay.MaxInterval = l.node.config.MaxBackoff
	for l.ctx.Err() == nil {
		established, err := l.runSession()
		if established {
			retryDelay.Reset()
		}
		l.node.config.OnSession(SessionEvent{Member: l.member.ID, Err: err})
		select {
		case <-l.ctx.Done():
		case <-time.After(retryDelay.NextBackOff()):
		}
	}
}

// runSession establishes one session and returns when it has ended.
func (l *link) runSession() (established bool, err error) {
	conn, err := l.dial()
	if err != nil {
		return false, err
	}
	mux, err := yamux.Client(conn, yamuxConfig(&l.node.config))
	if err != nil {
		_ = conn.Close()
		return false, l.errorAt(StepHello, err)
	}
	defer mux.Close()
	ctx, cancel := context.WithCancelCause(l.ctx)
	defer cancel(ErrSessionLost)
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()
	callers, err := l.openStreams(ctx, mux)
	if err != nil {
		return false, l.errorAt(StepHello, err)
	}
	return true, l.serveStreams(ctx, cancel, mux, callers)
}

func (l *link) errorAt(step Step, err error) error {
	return &Error{Step: step, Peer: l.member.ID, Err: err}
}

// dial connects to the member and performs the TLS handshake, when configured.
func (l *link) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, l.node.config.HelloTimeout)
	defer cancel()
	conn, err := l.node.counts.wire.DialContext(ctx, "tcp", l.member.PeerAddress)
	if err != nil {
		return nil, l.errorAt(StepDial, err)
	}
	secured, err := l.node.secureOutgoing(ctx, conn, l.member.ID)
	if err != nil {
		_ = conn.Close()
		return nil, l.errorAt(StepTLS, err)
	}
	return secured, nil
}

// openStreams opens one stream per class and exchanges Hello on each.
func (l *link) openStreams(ctx context.Context, mux *yamux.Session) ([]*caller, error) {
	callers := make([]*caller, classCount)
	for class := range classCount {
		conn, err := mux.Open()
		if err != nil {
			return nil, err
		}
		s := newStream(ctx, l.node, class, conn)
		if err := l.exchangeHello(s); err != nil {
			return nil, err
		}
		callers[class] = newCaller(s, l.member.ID)
	}
	return callers, nil
}

// serveStreams makes the streams available to Call and Notify, and returns when
// one of them or the session ends.
func (l *link) serveStreams(ctx context.Context, cancel context.CancelCauseFunc, mux *yamux.Session, callers []*caller) error {
	// The control class is stored last, because Connected checks only that class
	// and the other classes must be usable by then.
	for class, c := range slices.Backward(callers) {
		l.node.running.Go(c.readLoop)
		l.node.running.Go(c.writeLoop)
		context.AfterFunc(c.ctx, func() { cancel(context.Cause(c.ctx)) })
		l.callers[class].Store(c)
	}
	l.node.counts.sessionsEstablished.Add(1)
	l.node.config.OnSession(SessionEvent{Member: l.member.ID, Connected: true})
	select {
	case <-ctx.Done():
	case <-mux.CloseChan():
	}
	for class, c := range callers {
		l.callers[class].Store(nil)
		c.cancel(ErrSessionLost)
	}
	return l.errorAt(StepReply, context.Cause(ctx))
}
