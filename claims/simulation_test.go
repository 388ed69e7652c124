package claims

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/membership"
	"peridotcrank.dev/peer"
)

// The window is shorter than the default, so that scenarios reach its end.
const (
	modelWindow         = 15 * time.Second
	modelDispatchWithin = 5 * time.Second
)

// network is what a scenario draws about messages.
type network struct {
	zones                  int
	loss, duplicates, late float64       // shares
	delay                  time.Duration // up to; late messages take up to a second
}

// simulation runs services over a network with faults, in virtual time.
type simulation struct {
	network
	mu         sync.Mutex
	random     *rand.Rand
	start      time.Time
	row        fleet.MemberView
	processes  []*process
	tasks      sync.WaitGroup
	ended      context.Context
	end        context.CancelFunc
	intercept  func(proto.Message) proto.Message // Plants a fault: answers instead of the receiver.
	unchecked  bool                              // Plants a fault: Dispatchable is not asked.
	forgetful  bool                              // Plants a fault: departures are not counted.
	dispatches map[string][]dispatch
	verdicts   []verdictAt
	violation  error
}

type dispatch struct{ claimedAt, at time.Duration }

type verdictAt struct {
	at, took time.Duration
	key      string
	verdict  Verdict
}

// process is an entry process: its service, its membership and its condition.
type process struct {
	*simulation
	service     *Service
	member      fleet.Member
	requests    sync.WaitGroup
	confirmedAt time.Duration
	version     uint64
	size        int // Members in the adopted view.
	silentSince time.Duration
	frozen      chan struct{} // Closed when the process continues; nil when it runs.
	isolated    bool          // Cut off from the store and all members.
	noStore     bool          // Cut off from the store only.
	cutFrom     *process
	dead        bool
	leaving     bool
}

func newSimulation(seed uint64, n network) *simulation {
	return &simulation{
		network: n, random: rand.New(rand.NewPCG(seed, 1)),
		dispatches: make(map[string][]dispatch),
	}
}

func (m *simulation) now() time.Duration { return time.Since(m.start) }

func (m *simulation) chance(share float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64() < share
}

func (m *simulation) upTo(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.random.Int64N(int64(d) + 1))
}

// transit is the time that a message takes.
func (m *simulation) transit() time.Duration {
	if m.chance(m.late) {
		return m.upTo(time.Second)
	}
	return m.upTo(m.delay)
}

func (m *simulation) running() bool { return m.ended.Err() == nil }

// join adds a process to the row and starts it.
func (m *simulation) join() {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := len(m.processes)
	id := fleet.MemberID(fmt.Sprintf("m%d", i))
	p := &process{simulation: m, member: fleet.Member{ID: id, Zone: fleet.ZoneID(fmt.Sprintf("z%d", i%m.zones))}}
	p.service, _ = New(Config{Self: id, Transport: p, Valid: p.valid, Now: m.now, Window: modelWindow, DispatchWithin: modelDispatchWithin, PageSize: 2})
	if m.forgetful {
		p.service.losses.retention = -time.Hour
	}
	m.row = membership.Join(m.row, p.member)
	m.processes = append(m.processes, p)
	m.tasks.Go(p.poll)
}

func (m *simulation) process(i int) *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.processes[i%len(m.processes)]
}

func (m *simulation) members() []fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.row.Members
}

func (p *process) valid() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmedAt > 0 && p.now()-p.confirmedAt < DefaultValidFor
}

// pause blocks while the process is frozen. It returns false when it is dead.
func (p *process) pause() bool {
	for {
		p.mu.Lock()
		frozen, dead := p.frozen, p.dead
		p.mu.Unlock()
		if frozen == nil || dead {
			return !dead
		}
		<-frozen
	}
}

// poll reads the members row, adopts it some time later and rejoins after an eviction.
func (p *process) poll() {
	for p.running() && p.pause() {
		p.mu.Lock()
		started, row, isolated := p.now(), p.row, p.isolated || p.noStore
		if p.noStore && !p.isolated && p.confirmedByPeers() {
			p.confirmedAt = started
		}
		if !isolated && !p.leaving && !slices.ContainsFunc(row.Members, func(m fleet.Member) bool { return m.ID == p.member.ID }) {
			p.row = membership.Join(p.row, p.member)
			row = p.row
		}
		p.mu.Unlock()
		time.Sleep(p.transit())
		if !p.pause() {
			return
		}
		if !isolated {
			p.service.SetView(row)
			p.mu.Lock()
			p.confirmedAt, p.version = max(p.confirmedAt, started, 1), max(p.version, row.Version)
			p.size = len(row.Members)
			p.mu.Unlock()
		}
		time.Sleep(100*time.Millisecond + p.upTo(100*time.Millisecond))
	}
}

// confirmedByPeers reports whether a majority of the process's view holds it.
func (p *process) confirmedByPeers() bool {
	holders := 0
	for _, other := range p.processes {
		if !other.dead && !other.isolated && other.frozen == nil && other.version == p.version {
			holders++
		}
	}
	return p.version > 0 && holders > p.size/2
}

// evict removes one silent member once the current view is settled.
func (m *simulation) evict() {
	m.mu.Lock()
	defer m.mu.Unlock()
	holders, silent := 0, fleet.Member{}
	for _, p := range m.processes {
		i := slices.IndexFunc(m.row.Members, func(r fleet.Member) bool { return r.ID == p.member.ID })
		if i < 0 {
			continue
		}
		active := !p.dead && p.frozen == nil && !p.isolated
		switch {
		case active && p.version == m.row.Version:
			holders++
		case !active && m.now()-p.silentSince > 2*time.Second:
			silent = m.row.Members[i]
		}
	}
	if silent.ID != "" && holders > len(m.row.Members)/2 {
		m.row, _ = membership.Evict(m.row, silent)
	}
}

func (p *process) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentSince = p.now()
	change()
}

func (p *process) freeze(d time.Duration) {
	resume := make(chan struct{})
	p.during(d, func(on bool) {
		p.frozen = nil
		if on {
			p.frozen = resume
		}
	})
	close(resume)
}

// during applies a fault for some time.
func (p *process) during(d time.Duration, set func(on bool)) {
	p.set(func() { set(true) })
	select {
	case <-time.After(d):
	case <-p.ended.Done():
	}
	p.set(func() { set(false) })
}

func (p *process) kill() {
	p.set(func() { p.dead = true })
	p.service.Close()
}

// stop is a planned stop: requests finish, claims are handed over, the row is left.
func (p *process) stop() {
	p.set(func() { p.leaving = true })
	p.requests.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = p.service.Handover(ctx)
	p.mu.Lock()
	for _, m := range p.row.Members {
		if m.ID == p.member.ID {
			p.row, _ = membership.Evict(p.row, m)
		}
	}
	p.mu.Unlock()
	time.Sleep(DefaultValidFor) // Members that still hold the old view get an answer.
	p.kill()
}

func (p *process) reachable(other *process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isolated && !other.isolated && !p.dead && !other.dead && p.cutFrom != other && other.cutFrom != p
}

func (p *process) peerOf(id fleet.MemberID) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.processes {
		if other.member.ID == id {
			return other
		}
	}
	return nil
}

// deliver carries a message and, some time later, hands over its reply.
func (p *process) deliver(other *process, message proto.Message, reply func(proto.Message)) {
	p.tasks.Go(func() {
		time.Sleep(p.transit())
		if p.chance(p.loss) || !p.reachable(other) || !other.pause() {
			return
		}
		var answer proto.Message
		if p.intercept != nil {
			answer = p.intercept(message)
		}
		if answer == nil {
			var err error
			if answer, err = other.service.Receive(p.member.ID, proto.Clone(message)); err != nil {
				panic(err)
			}
		}
		time.Sleep(p.transit())
		if answer != nil && !p.chance(p.loss) && p.reachable(other) && p.pause() {
			reply(answer)
		}
	})
}

// Call implements Transport. Replies that are late or double find nobody waiting.
func (p *process) Call(ctx context.Context, member fleet.MemberID, message proto.Message) (proto.Message, error) {
	p.pause()
	other := p.peerOf(member)
	if !p.reachable(other) && p.chance(0.5) {
		return nil, &peer.Error{Step: peer.StepQueue, Peer: member, Err: peer.ErrNotConnected}
	}
	replies := make(chan proto.Message, 2)
	p.deliver(other, message, func(m proto.Message) { replies <- m })
	if p.chance(p.duplicates) {
		p.deliver(other, message, func(m proto.Message) { replies <- m })
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return nil, &peer.Error{Step: peer.StepReply, Peer: member, MaybeSent: true, Err: ctx.Err()}
	}
}

// Notify implements Transport.
func (p *process) Notify(_ context.Context, member fleet.MemberID, message proto.Message) error {
	p.deliver(p.peerOf(member), message, func(proto.Message) {})
	return nil
}

// accept admits a request unless the process is about to stop.
func (p *process) accept() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.leaving {
		p.requests.Add(1)
	}
	return !p.leaving
}

// submit claims a key and dispatches it like the gateway.
func (p *process) submit(value string, thinking time.Duration, notRun bool) {
	if !p.accept() {
		return
	}
	defer p.requests.Done()
	if !p.pause() {
		return
	}
	key := Key{Service: "orders", Customer: "c", Value: value}
	claimedAt := p.now()
	verdict, _ := p.service.Claim(context.Background(), key)
	p.mu.Lock()
	p.verdicts = append(p.verdicts, verdictAt{claimedAt, p.now() - claimedAt, value, verdict})
	p.mu.Unlock()
	if verdict != VerdictFresh {
		return
	}
	time.Sleep(thinking)
	if !p.pause() {
		return
	}
	if notRun || !p.unchecked && !p.service.Dispatchable(key) {
		p.service.Release(context.Background(), key)
		return
	}
	p.dispatch(value, dispatch{claimedAt, p.now()})
}

func (m *simulation) dispatch(key string, d dispatch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, earlier := range m.dispatches[key] {
		resubmitted := max(d.at, earlier.at)-min(d.claimedAt, earlier.claimedAt) < modelWindow
		// A dispatch long after its claim must not meet one of the next window.
		delayed := (d.at - earlier.at).Abs() < modelWindow-modelDispatchWithin
		if resubmitted || delayed {
			m.violation = errors.Join(m.violation, fmt.Errorf("key %s was dispatched twice: %+v and %+v", key, earlier, d))
		}
	}
	m.dispatches[key] = append(m.dispatches[key], d)
}

// finish ends all processes. Virtual time stops when the test returns, so that
// messages which recoveries sent to the last must have arrived before.
func (m *simulation) finish() {
	m.end()
	for _, p := range m.processes {
		p.kill()
	}
	m.tasks.Wait()
	time.Sleep(5 * time.Second)
}
