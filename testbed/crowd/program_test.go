package crowd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/relay"
	"peridotcrank.dev/jobs/worker/workertest"
	"peridotcrank.dev/testbed/standin"
)

// Limits of the process under test. They are lower than the defaults, so that a small crowd
// shows a missing limit.
const (
	memoryBound     = 96 << 20
	descriptorBound = 256
	limitsSection   = `limits:
  memory: 96MiB
  descriptors: 256
  header_bytes: 64KiB
  connections: 128
`
)

const (
	// hangLimit is how long an ordinary request is repeated before the process counts as hung.
	hangLimit      = 20 * time.Second
	attemptTimeout = 4 * time.Second
	retryPause     = 50 * time.Millisecond
	// lastOutputBytes is how much of the output of a process that ended is shown.
	lastOutputBytes = 4000
	// maxBodyBytes is the limit of bodies in the configuration.
	maxBodyBytes = 1 << 20

	pool       = "pool-a"
	queue      = "queue-a"
	host       = "jobs.example"
	pathPrefix = "/jobs-a/"
)

const settingsTemplate = `member: member-a
zone: zone-a
cpu: 1.0
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

// programFile is the program under test.
var programFile string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programFile = filepath.Join(dir, "peridotcrank")
	if out, err := exec.Command("go", "build", "-o", programFile, "peridotcrank.dev/peridotcrank").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// port is a port of the process under test.
type port int

const (
	callers port = iota
	readiness
	metrics
	peers
	portCount
)

// program is a running process of the program under test.
type program struct {
	t         *testing.T
	command   *exec.Cmd
	addresses [portCount]string
	exited    chan struct{}
	exitError error // Set when exited is closed.
	nextJob   int
}

// startProgram starts the program against a stand-in of the platform, and waits until it serves.
// openFiles is the limit of descriptors that the system enforces; 0 for that of the test.
func startProgram(t *testing.T, openFiles int) *program {
	t.Helper()
	platform, err := standin.Start(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: time.Millisecond} })
	assert.NilError(t, err)
	t.Cleanup(platform.Close)
	platform.MaxBodyBytes = maxBodyBytes
	assert.NilError(t, platform.AddWorkers(pool, 2, standin.Capacity))
	assert.NilError(t, platform.Configure(1, []string{pool}, []standin.Queue{{Name: queue, Host: host, Prefix: pathPrefix, Pool: pool}}, nil))
	p := &program{t: t, exited: make(chan struct{})}
	for i := range p.addresses {
		p.addresses[i] = fmt.Sprintf("%s:%d", ownAddress(), firstPort+i)
	}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(settingsText(platform, p.addresses)), 0o600))
	p.start(file, openFiles)
	p.expectServing()
	return p
}

// firstPort is the first of the ports of the process under test.
const firstPort = 7400

// ownAddress returns a loopback address that no other test process uses.
func ownAddress() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+id>>16&63, id>>8&255, id&255)
}

// settingsText returns the settings with the lowered limits.
func settingsText(platform *standin.Platform, a [portCount]string) string {
	text := fmt.Sprintf(settingsTemplate, a[callers], a[readiness], a[peers], a[metrics], platform.StoreAddress, platform.MachinesAddress)
	return text + limitsSection
}

func (p *program) start(settingsFile string, openFiles int) {
	p.t.Helper()
	p.command = exec.Command(programFile, "jobs", "--settings", settingsFile)
	if openFiles > 0 {
		p.command = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(openFiles), programFile, "jobs", "--settings", settingsFile)
	}
	var logs bytes.Buffer
	p.command.Stdout, p.command.Stderr = &logs, &logs
	assert.NilError(p.t, p.command.Start())
	go func() {
		p.exitError = p.command.Wait()
		close(p.exited)
	}()
	p.t.Cleanup(func() {
		if p.command.Process.Kill() != nil { // It fails only if the process has exited.
			<-p.exited
			p.t.Logf("last output of the process:\n%s", logs.Bytes()[max(0, logs.Len()-lastOutputBytes):])
		}
		<-p.exited
	})
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+([0-9]+) kB`)

// peakMemoryBytes returns the largest resident size of the process so far.
func (p *program) peakMemoryBytes() int64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	assert.NilError(p.t, err)
	match := peakMemory.FindSubmatch(status)
	assert.Assert(p.t, match != nil, "no VmHWM in %s", status)
	kilobytes, err := strconv.ParseInt(string(match[1]), 10, 64)
	assert.NilError(p.t, err)
	return kilobytes << 10
}

// descriptors returns the number of open descriptors; 0 if the process has exited.
func (p *program) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

const (
	steadyTime    = 200 * time.Millisecond
	maxSteadyWait = 3 * time.Second
)

// awaitSteadyMemory waits until the peak memory has not changed for a while, because the process may
// still read what is in the buffers of the connections.
func (p *program) awaitSteadyMemory() {
	p.t.Helper()
	end := time.Now().Add(maxSteadyWait)
	peak, changed := int64(0), time.Now()
	for time.Since(changed) < steadyTime && time.Now().Before(end) {
		p.expectAlive()
		if now := p.peakMemoryBytes(); now > peak {
			peak, changed = now, time.Now()
		}
		time.Sleep(sampleInterval)
	}
}

const sampleInterval = 20 * time.Millisecond

// watchDescriptors returns a function that ends the watch and returns the largest number of
// descriptors seen.
func (p *program) watchDescriptors() func() int {
	var peak atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ; ctx.Err() == nil; time.Sleep(sampleInterval) {
			peak.Store(max(peak.Load(), int64(p.descriptors())))
		}
	}()
	return func() int {
		cancel()
		<-done
		return int(max(peak.Load(), int64(p.descriptors())))
	}
}

// expectAlive fails the test at once if the process has exited.
func (p *program) expectAlive() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatalf("the process ended: %v", p.exitError)
	default:
	}
}

// expectServing waits until an ordinary request is answered on each port.
func (p *program) expectServing() {
	p.t.Helper()
	p.expectAnswer("readiness", p.askReadiness)
	p.expectAnswer("submission", p.submitJob)
	p.expectAnswer("metrics", p.askMetrics)
	p.expectAnswer("peer call", p.callAsPeer)
}

// expectAnswer repeats a request until it is answered. A refusal in between is allowed.
func (p *program) expectAnswer(name string, ask func(context.Context) error) {
	p.t.Helper()
	var err error
	for deadline := time.Now().Add(hangLimit); time.Now().Before(deadline); time.Sleep(retryPause) {
		p.expectAlive()
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		err = ask(ctx)
		cancel()
		if err == nil {
			return
		}
	}
	p.t.Errorf("no answer to an ordinary request (%s): %v", name, err)
}

func (p *program) askReadiness(ctx context.Context) error {
	return exchange(ctx, http.MethodGet, "http://"+p.addresses[readiness]+"/readyz", "", nil)
}

func (p *program) askMetrics(ctx context.Context) error {
	return exchange(ctx, http.MethodGet, "http://"+p.addresses[metrics]+"/metrics", "", nil)
}

const ordinaryBody = `{"spec":"s","steps":[{"count":1,"cpu":100,"mem-mb":10,"est-ms":300}]}`

func (p *program) submitJob(ctx context.Context) error { return p.submit(ctx, ordinaryBody, nil) }

func (p *program) submit(ctx context.Context, body string, header http.Header) error {
	return exchange(ctx, http.MethodPost, "http://"+p.addresses[callers]+p.newJobPath(), body, header)
}

func (p *program) newJobPath() string {
	p.nextJob++
	return fmt.Sprintf("%s%016x", pathPrefix, p.nextJob)
}

func (p *program) callAsPeer(ctx context.Context) error {
	_, err := relay.NewClient().Call(ctx, p.addresses[peers], &jobpb.Request{
		Call: jobpb.Call_CALL_STATE, Shard: pool, Queue: queue, Id: "00000000000000ff", TimeoutMs: attemptTimeout.Milliseconds(),
	})
	return err
}

var errStatus = errors.New("the status is not 200")

// exchange sends a request on a new connection and expects status 200.
func exchange(ctx context.Context, method, url, body string, header http.Header) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	request.Host = host
	maps.Copy(request.Header, header)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %d", errStatus, response.StatusCode)
	}
	return nil
}
