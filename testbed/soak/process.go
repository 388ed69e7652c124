package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// process is a real process of the program, with a link of its own to the store.
type process struct {
	name    string
	binary  string
	file    string // Settings.
	log     *os.File
	callers string
	ready   string
	link    *proxy

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

const settingsForm = `member: %s
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
  max_hold: 6s
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

// newProcess prepares a process. Its ports stay free between its starts.
func newProcess(dir, binary, name, store, machines string) (*process, error) {
	link, err := newProxy(store)
	if err != nil {
		return nil, err
	}
	var ports [4]string
	for i := range ports {
		if ports[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	p := &process{name: name, binary: binary, file: filepath.Join(dir, name+".yaml"), callers: ports[0], ready: ports[1], link: link}
	settings := fmt.Sprintf(settingsForm, name, ports[0], ports[1], ports[2], ports[3], link.address(), machines)
	if err := os.WriteFile(p.file, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	p.log, err = os.Create(filepath.Join(dir, name+".log"))
	return p, err
}

const (
	// Ports lie below those that the system gives to outgoing connections, and those
	// of soaks that run at the same time lie apart: a process that is stopped gets its
	// port back.
	firstPort = 20000
	lastPort  = 32000
	portsEach = 100
)

var portsTaken atomic.Int32

func freeAddress() (string, error) {
	var err error
	for range portsEach {
		n := os.Getpid()*portsEach + int(portsTaken.Add(1))
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%(lastPort-firstPort))
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			listener.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("find a port: %w", err)
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = exec.Command(p.binary, "jobs", "--settings", p.file)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.exited = exited
	command := p.command
	go func() {
		command.Wait() // How it ends is judged by what callers see.
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that this soak started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		p.command.Process.Signal(s) // It may have ended just now.
	}
}

// end ends the process by a signal, and by force once a limit has passed. It
// reports whether force was needed.
func (p *process) end(s syscall.Signal, limit time.Duration) (forced bool) {
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
