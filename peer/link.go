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

// link keeps a session to one member for as long as it is in the view.
type link struct {
	node    *Node
	member  fleet.Member
	ctx     context.Context
	cancel  context.CancelFunc
	callers [classCount]atomic.Pointer[caller]
}

func newLink(node *Node, member fleet.Member) *link {
	l := &link{node: node, member: member}
	l.ctx, l.cancel = context.WithCancel(node.ctx)
	return l
}

// run dials until the link is cancelled. The pause grows while sessions fail.
func (l *link) run() {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = l.node.config.MinBackoff
	pause.MaxInterval = l.node.config.MaxBackoff
	for l.ctx.Err() == nil {
		established, err := l.session()
		if established {
			pause.Reset()
		}
		l.node.config.OnSession(SessionEvent{Member: l.member.ID, Err: err})
		select {
		case <-l.ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// session establishes one session and returns when it has ended.
func (l *link) session() (established bool, err error) {
	conn, err := l.dial()
	if err != nil {
		return false, err
	}
	multiplexed, err := yamux.Client(conn, yamuxConfig(&l.node.config))
	if err != nil {
		_ = conn.Close()
		return false, l.fail(StepHello, err)
	}
	defer multiplexed.Close()
	ctx, cancel := context.WithCancelCause(l.ctx)
	defer cancel(ErrSessionLost)
	stop := context.AfterFunc(ctx, func() { _ = multiplexed.Close() })
	defer stop()
	callers, err := l.open(ctx, multiplexed)
	if err != nil {
		return false, l.fail(StepHello, err)
	}
	return true, l.serve(ctx, cancel, multiplexed, callers)
}

func (l *link) fail(step Step, err error) error {
	return &Error{Step: step, Peer: l.member.ID, Err: err}
}

func (l *link) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, l.node.config.HelloTimeout)
	defer cancel()
	conn, err := l.node.counts.wire.DialContext(ctx, "tcp", l.member.PeerAddress)
	if err != nil {
		return nil, l.fail(StepDial, err)
	}
	secured, err := l.node.secureDial(ctx, conn, l.member.ID)
	if err != nil {
		_ = conn.Close()
		return nil, l.fail(StepTLS, err)
	}
	return secured, nil
}

// open starts one stream per class.
func (l *link) open(ctx context.Context, multiplexed *yamux.Session) ([]*caller, error) {
	callers := make([]*caller, classCount)
	for class := range classCount {
		conn, err := multiplexed.Open()
		if err != nil {
			return nil, err
		}
		s := newStream(ctx, l.node, class, conn)
		if err := l.sendHello(s); err != nil {
			return nil, err
		}
		callers[class] = newCaller(s, l.member.ID)
	}
	return callers, nil
}

// serve publishes the streams until one of them or the session ends.
func (l *link) serve(ctx context.Context, cancel context.CancelCauseFunc, multiplexed *yamux.Session, callers []*caller) error {
	// The control class comes last: Connected looks at it, and the other classes
	// must be usable by then.
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
	case <-multiplexed.CloseChan():
	}
	for class, c := range callers {
		l.callers[class].Store(nil)
		c.cancel(ErrSessionLost)
	}
	return l.fail(StepReply, context.Cause(ctx))
}
