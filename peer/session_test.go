package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"math/big"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// sessionErrors returns a setup function for startNode and a channel that
// receives the errors of sessions.
func sessionErrors() (setup func(*Config), failed chan error) {
	failed = make(chan error, 1)
	return func(c *Config) {
		c.OnSession = func(e SessionEvent) {
			select {
			case failed <- e.Err:
			default:
			}
		}
	}, failed
}

// Guards against a session between processes that disagree about their member IDs
// or incarnations, because one has rejoined, has left the view or has taken over
// the address of another.
func TestHelloRefusesWrongIdentity(t *testing.T) {
	view := func(version uint64, members ...fleet.Member) fleet.MemberView {
		return fleet.MemberView{Version: version, Members: members}
	}
	incarnation := func(m fleet.Member, i uint64) fleet.Member { m.Incarnation = i; return m }
	for name, c := range map[string]struct {
		views   func(a, b fleet.Member) (ofA, ofB fleet.MemberView)
		refusal string
	}{
		"sender has an older incarnation": {func(a, b fleet.Member) (ofA, ofB fleet.MemberView) {
			return view(1, a, b), view(2, incarnation(a, 2), b)
		}, "incarnation 1 of a is older than 2"},
		"sender is not a member": {func(a, b fleet.Member) (ofA, ofB fleet.MemberView) {
			return view(1, a, b), view(2, b)
		}, "a is not a member in view 2"},
		"target has an older incarnation": {func(a, b fleet.Member) (ofA, ofB fleet.MemberView) {
			return view(2, a, incarnation(b, 2)), view(1, a, b)
		}, "this is b incarnation 1, not b incarnation 2"},
		"address belongs to another member": {func(a, b fleet.Member) (ofA, ofB fleet.MemberView) {
			c := b
			c.ID = "b2"
			return view(1, a, c), view(1, a, b)
		}, "this is b incarnation 1, not b2 incarnation 1"},
	} {
		t.Run(name, func(t *testing.T) {
			report, failed := sessionErrors()
			a, ma := startNode(t, "a", report)
			b, mb := startNode(t, "b", nil)
			ofA, ofB := c.views(ma, mb)
			b.SetMembers(ofB)
			a.SetMembers(ofA)
			err := <-failed
			assert.ErrorContains(t, err, c.refusal)
			var failure *Error
			assert.Check(t, errors.As(err, &failure) && failure.Peer == ofA.Members[1].ID && failure.Step == StepHello)
			assert.Check(t, errors.Is(err, ErrRefused) && !a.Connected(ofA.Members[1].ID))
			assert.Check(t, b.Stats().SessionsRefused > 0)
		})
	}
}

// Guards against a session that stays open after its member has left the view.
func TestViewChangeEndsSessions(t *testing.T) {
	a, b := startPair(t, nil)
	mb, _ := b.identity()
	b.SetMembers(fleet.MemberView{Version: 2, Members: []fleet.Member{mb}})
	waitUntil(t, testContext(t), func() bool { return !a.Connected("b") })
	_, err := a.Call(testContext(t), "b", ClassControl, &peerpb.Heartbeat{})
	assert.Check(t, errors.Is(err, ErrNotConnected) && !MaybeSent(err), "%v", err)
}

// Guards against a link that does not reconnect after its connection broke, and
// against calls in progress that are then reported as not sent.
func TestReconnect(t *testing.T) {
	a, b := startPair(t, nil)
	started := make(chan struct{})
	Handle(b, func(ctx context.Context, _ Sender, _ *peerpb.DrainQuery) (proto.Message, error) {
		close(started)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	failed := make(chan error)
	go func() {
		_, err := a.Call(testContext(t), "b", ClassControl, &peerpb.DrainQuery{})
		failed <- err
	}()
	<-started
	b.mu.Lock()
	for s := range b.sessions {
		s.cancel()
	}
	b.mu.Unlock()
	err := <-failed
	assert.Check(t, errors.Is(err, ErrSessionLost) && MaybeSent(err), "%v", err)
	waitUntil(t, testContext(t), func() bool { return a.Connected("b") && a.Stats().SessionsStarted == 2 })
	_, err = a.Call(testContext(t), "b", ClassClaims, &peerpb.Claim{})
	assert.NilError(t, err)
}

// Guards against handler errors, missing handlers and oversized messages that
// are not returned to the caller, and against a slow handler that delays other
// requests.
func TestRequestsAreIndependent(t *testing.T) {
	a, b := startPair(t, func(c *Config) { c.MaxFrame = 64 << 10 })
	release := make(chan struct{})
	Handle(b, func(context.Context, Sender, *peerpb.SlotBorrow) (proto.Message, error) { <-release; return nil, nil })
	Handle(b, func(_ context.Context, from Sender, _ *peerpb.DrainQuery) (proto.Message, error) {
		return nil, errors.New("no such VM, " + string(from.Member))
	})
	var slow sync.WaitGroup
	slow.Go(func() {
		_, err := a.Call(testContext(t), "b", ClassControl, &peerpb.SlotBorrow{})
		assert.Check(t, err)
	})
	_, err := a.Call(testContext(t), "b", ClassControl, &peerpb.DrainQuery{})
	assert.Check(t, errors.Is(err, ErrRemote) && strings.Contains(err.Error(), "no such VM, a"), "%v", err)
	_, err = a.Call(testContext(t), "b", ClassControl, &peerpb.RowsPush{})
	assert.ErrorContains(t, err, "no handler")
	_, err = a.Call(testContext(t), "b", ClassControl, &peerpb.ConfigPush{Document: make([]byte, 64<<10)})
	assert.Check(t, errors.Is(err, ErrTooLarge) && !MaybeSent(err), "%v", err)
	_, err = CallTyped[*peerpb.DrainReply](testContext(t), a, "b", ClassClaims, &peerpb.Claim{})
	assert.Check(t, errors.Is(err, ErrReplyType))
	close(release)
	slow.Wait()
}

// certificate returns a certificate for a member, signed by the authority.
func certificate(t *testing.T, name string, authority *tls.Certificate) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: authority == nil, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := template, any(key)
	if authority != nil {
		parent, signer = authority.Leaf, authority.PrivateKey
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	assert.NilError(t, err)
	leaf, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}
}

// tlsConfigFor returns configurations with a new certificate for the current
// value of name, which can change at any time.
func tlsConfigFor(t *testing.T, name *atomic.Value, authority *tls.Certificate) TLSConfigFunc {
	roots := x509.NewCertPool()
	roots.AddCert(authority.Leaf)
	return func() (*tls.Config, error) {
		return &tls.Config{RootCAs: roots, Certificates: []tls.Certificate{certificate(t, name.Load().(string), authority)}}, nil
	}
}

// Guards against accepting a client that has the certificate of another member
// or none, and against a renewed certificate that takes effect only after a
// restart.
func TestMutualTLS(t *testing.T) {
	authority := certificate(t, "authority", nil)
	var nameOfA, nameOfB atomic.Value
	nameOfA.Store("c")
	nameOfB.Store("b")
	report, failed := sessionErrors()
	a, ma := startNode(t, "a", func(c *Config) { report(c); c.TLS = tlsConfigFor(t, &nameOfA, &authority) })
	b, mb := startNode(t, "b", func(c *Config) { c.TLS = tlsConfigFor(t, &nameOfB, &authority) })
	echoClaims(b)
	view := fleet.MemberView{Version: 1, Members: []fleet.Member{ma, mb}}
	b.SetMembers(view)
	a.SetMembers(view)
	assert.ErrorContains(t, <-failed, "not a")
	nameOfA.Store("a")
	waitUntil(t, testContext(t), func() bool { return a.Connected("b") })
	_, err := a.Call(testContext(t), "b", ClassClaims, &peerpb.Claim{})
	assert.NilError(t, err)
	plain, mp := startNode(t, "p", nil)
	plain.SetMembers(fleet.MemberView{Version: 1, Members: []fleet.Member{mp, mb}})
	refused := b.Stats().SessionsRefused
	waitUntil(t, testContext(t), func() bool { return b.Stats().SessionsRefused > refused })
	assert.Check(t, !plain.Connected("b"))
}

// Guards against notifications of one peer and class that are not handled in the
// order in which they were sent.
func TestNotificationsKeepOrder(t *testing.T) {
	const total = 100
	a, b := startPair(t, nil)
	revisions := make(chan uint64, total)
	Handle(b, func(_ context.Context, _ Sender, m *peerpb.RowsPush) (proto.Message, error) {
		revisions <- m.GetRevision()
		return nil, nil
	})
	for i := range uint64(total) {
		assert.NilError(t, a.Notify(testContext(t), "b", ClassControl, &peerpb.RowsPush{Revision: i}))
	}
	for i := range uint64(total) {
		assert.Equal(t, <-revisions, i)
	}
}
