package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func encode64(b []byte) string { return base64.StdEncoding.EncodeToString(b) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// settingsText is deploy/settings.yaml as the platform fills it in for a small deployment.
const settingsText = `member: "%s"
zone: "zone-a"
cpu: 0.4
listen:
  callers: "%s"
  ready: "%s"
  peers: "%s"
  metrics: "%s"
platform:
  store: "%s"
  machines: "%s"
limits:
  memory: 284MiB
  descriptors: 4100
leases:
  max_hold: 10000ms
timing:
  grace: 6s
  keep_ended: 120s
  upkeep: 2s
  move: 1.5s
  notice: 4500ms
  harm: 4000ms
  pace: 100ms
  stop: 900ms
scheduling:
  learned_durations: false
  attempt_records: false
`

// process is a process of the program under test.
type process struct {
	name     string
	callers  string // HOST:PORT
	settings string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// startCommand is that of the deploy file, relative to the root of the repository.
const startCommand = "target/peridotcrank"

func newProcess(dir, name, storeAddress, machinesAddress string) (*process, error) {
	p := &process{name: name, settings: filepath.Join(dir, name+".yaml")}
	var a [4]string
	for i := range a {
		var err error
		if a[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	p.callers = a[0]
	text := fmt.Sprintf(settingsText, name, a[0], a[1], a[2], a[3], storeAddress, machinesAddress)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	p.log, err = os.Create(filepath.Join(dir, name+".log"))
	return p, err
}

// freeAddress returns a loopback address below the range of outgoing connections, so that a
// process can listen there again after a restart.
func freeAddress() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	if nextPort == 0 {
		nextPort = 12000 + os.Getpid()%400*40
	}
	for range 4000 {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port")
}

var (
	portMu   sync.Mutex
	nextPort int
)

// addSetting inserts a line before the first one that begins with a prefix.
func (p *process) addSetting(prefix, line string) error {
	data, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, []byte(strings.Replace(string(data), prefix, line+prefix, 1)), 0o600)
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = exec.Command(startCommand, "jobs")
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTCRANK_BOOT=" + p.settings}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		return err
	}
	exited, command := make(chan struct{}), p.command
	p.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.running() {
		_ = p.command.Process.Signal(s)
	}
}

// end kills the process and waits until it has ended.
func (p *process) end() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// memory returns the resident memory of the process in bytes, 0 if it does not run.
func (p *process) memory() int64 {
	if !p.running() {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	return 0
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(file string) (*recorder, error) {
	f, err := os.Create(file)
	return &recorder{file: f, began: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve starts an HTTP server on a free loopback port and returns its address.
func serve(h http.Handler) (string, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), server, nil
}
