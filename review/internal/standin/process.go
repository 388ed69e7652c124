package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// settings is deploy/settings.yaml with the values of a small site.
const settings = `member: %q
zone: "wa-south-a"
cpu: 0.4
listen:
  callers: %q
  ready: %q
  peers: %q
  metrics: %q
platform:
  store: %q
%sleases:
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

// Process is a process of the program under test.
type Process struct {
	record               *Record
	Name, Front, ready   string
	binary, file, output string
	mu                   sync.Mutex
	command              *exec.Cmd
	exited               chan struct{}
}

// NewProcess writes the settings of a process. machines may be empty.
func NewProcess(record *Record, binary, dir, name, store, machines string) (*Process, error) {
	p := &Process{record: record, Name: name, Front: FreeAddress(), ready: FreeAddress(), binary: binary, file: filepath.Join(dir, name+".yaml"), output: filepath.Join(dir, name+".log")}
	if machines != "" {
		machines = fmt.Sprintf("  machines: %q\n", machines)
	}
	text := fmt.Sprintf(settings, name, p.Front, p.ready, FreeAddress(), FreeAddress(), store, machines)
	return p, os.WriteFile(p.file, []byte(text), 0o600)
}

// started are all processes, for KillAll.
var (
	startedMutex sync.Mutex
	started      []*Process
)

// KillAll ends all processes at once.
func KillAll() {
	startedMutex.Lock()
	defer startedMutex.Unlock()
	for _, p := range started {
		p.Signal(syscall.SIGKILL)
	}
}

// Start starts the process with the command of the deploy file.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = exec.Command(p.binary, "jobs")
	p.command.Env = append(os.Environ(), "PERIDOTCRANK_BOOT="+p.file)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	p.record.Printf("process %s starts", p.Name)
	startedMutex.Lock()
	started = append(started, p)
	startedMutex.Unlock()
	command, exited := p.command, make(chan struct{})
	p.exited = exited
	go func() {
		command.Wait() // The exit status is not judged.
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	select {
	case <-p.exited:
	default:
		p.record.Printf("process %s gets %v", p.Name, s)
		p.command.Process.Signal(s)
	}
}

// Wait waits until the process has ended and reports whether it did in time.
func (p *Process) Wait(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		p.record.Printf("process %s has ended", p.Name)
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(5 * time.Second)
}

// Ready reports whether the process answers its readiness check with 200.
func (p *Process) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.ready + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the process is ready.
func (p *Process) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.Ready() {
			p.record.Printf("process %s is ready", p.Name)
			return true
		}
	}
	return false
}

// Answer is the answer to a call; Status is 0 if there was none.
type Answer struct {
	Status int
	Body   string
}

// State returns the state of a job in the body of a GET.
func (a Answer) State() string {
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(a.Body), &body) // An unreadable body has no state.
	return body.State
}

// clientDeadline is how long clients wait for an answer.
const clientDeadline = 3 * time.Second

// Call sends a client's call to the process. quiet keeps it out of the record.
func (p *Process) Call(method, host, path string, body any, quiet bool) Answer {
	encoded := []byte{}
	if body != nil {
		encoded, _ = json.Marshal(body) // Bodies are maps and lists.
	}
	request, err := http.NewRequest(method, "http://"+p.Front+path, bytes.NewReader(encoded))
	if err != nil {
		panic(err)
	}
	request.Host, request.Close = host, true
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Peridotcrank-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	sent := p.record.Now()
	answer := Answer{}
	client := http.Client{Timeout: clientDeadline}
	if response, err := client.Do(request); err == nil {
		data, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		if readErr == nil {
			answer = Answer{response.StatusCode, string(bytes.TrimSpace(data))}
		}
	}
	if !quiet {
		p.record.Printf("client: %s %s at %s, sent at %.3f s (%d bytes): %d %s", method, path, p.Name, sent.Seconds(), len(encoded), answer.Status, answer.Body)
	}
	return answer
}
