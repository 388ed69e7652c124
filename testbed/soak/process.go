package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// process is a process of the program under test, with a proxy of its own to the store.
type process struct {
	name           string
	binary         string
	settingsFile   string
	logFile        *os.File
	callersAddress string
	readyAddress   string
	storeProxy     *proxy
	starved        atomic.Bool

	mu          sync.Mutex
	command     *exec.Cmd
	suspendedAt time.Time // When it was last suspended.
	// exited is closed while the program is not running.
	exited chan struct{}
}

const settingsTemplate = `member: %s
zone: zone-a
cpu: 0.5
listen:
  callers: %s
  ready: %s
  peers: %s
  metrics: %s
platform:
  store: %s
  machines: "%s"
leases:
  max_hold: %s
timing:
  grace: 6s
  keep_ended: 120s
  upkeep: 2s
  move: 1500ms
  notice: 4500ms
  harm: 4s
  pace: 100ms
  stop: 200ms
`

// keysTemplate is the part of the settings for configurations with workspaces.
const keysTemplate = `keys:
  revoke: %s
`

// newProcess writes the settings of a process, and opens its log and its proxy to the store.
// It does not start the process.
func newProcess(dir, binary, name, store, machines string, maxLease time.Duration, withKeys bool) (*process, error) {
	storeProxy, err := newProxy(store)
	if err != nil {
		return nil, err
	}
	var addresses [4]string
	for i := range addresses {
		if addresses[i], err = ports.takeAddress(); err != nil {
			return nil, err
		}
	}
	p := &process{name: name, binary: binary, settingsFile: filepath.Join(dir, name+".yaml"), callersAddress: addresses[0], readyAddress: addresses[1], storeProxy: storeProxy, exited: make(chan struct{})}
	close(p.exited)
	settings := fmt.Sprintf(settingsTemplate, name, addresses[0], addresses[1], addresses[2], addresses[3], storeProxy.address(), machines, maxLease)
	if withKeys {
		settings += fmt.Sprintf(keysTemplate, revokeTime)
	}
	if err := os.WriteFile(p.settingsFile, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	p.logFile, err = os.Create(filepath.Join(dir, name+".log"))
	return p, err
}

// shortage is how long a process short of CPU is suspended and runs in turn.
type shortage struct{ suspension, turn time.Duration }

var (
	mildShortage = shortage{80 * time.Millisecond, 20 * time.Millisecond}
	// severeShortages let replies miss their time limits: by little CPU time, or by long suspensions.
	severeShortages = []shortage{
		{45 * time.Millisecond, 5 * time.Millisecond}, {95 * time.Millisecond, 5 * time.Millisecond}, {195 * time.Millisecond, 5 * time.Millisecond},
		{700 * time.Millisecond, 5 * time.Millisecond}, {700 * time.Millisecond, 30 * time.Millisecond},
	}
)

// start starts the program unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		return nil
	}
	p.command = exec.Command(p.binary, "jobs", "--settings", p.settingsFile)
	p.command.Stdout, p.command.Stderr = p.logFile, p.logFile
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.exited = exited
	command := p.command
	go func() {
		command.Wait() // Its exit status is not checked; violations show in the results of callers.
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process unless it has exited.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		if s == syscall.SIGSTOP {
			p.suspendedAt = time.Now()
		}
		p.command.Process.Signal(s) // It fails only when the process has just exited.
	}
}

// starve suspends the process for most of the time until ctx ends, as on a VM short of CPU.
// It does nothing if the process is already short of CPU.
func (p *process) starve(ctx context.Context, s shortage) {
	if !p.starved.CompareAndSwap(false, true) {
		return
	}
	defer p.starved.Store(false)
	for ctx.Err() == nil {
		p.signal(syscall.SIGSTOP)
		pause(ctx, s.suspension)
		p.signal(syscall.SIGCONT)
		pause(ctx, s.turn)
	}
}

// wasSuspendedSince reports whether the process was suspended after a time.
func (p *process) wasSuspendedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspendedAt.After(t)
}

// terminate ends the process with a signal and kills it when it has not exited before the
// limit. It reports whether it killed the process.
func (p *process) terminate(s syscall.Signal, limit time.Duration) (forced bool) {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	select {
	case <-p.exited:
		return false
	case <-time.After(limit):
		p.signal(syscall.SIGKILL)
		<-p.exited
		return true
	}
}
