package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		fail("create the record: %v", err)
	}
	return &record{file: file, startedAt: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// proxy passes connections on to an address until it is cut. A cut is silent: bytes and new connections wait.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	healed   chan struct{} // Closed while the proxy passes bytes on.
}

func newProxy(target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen for a proxy: %v", err)
	}
	p := &proxy{listener: listener, target: target, healed: make(chan struct{})}
	close(p.healed)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) path() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healed
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
}

func (p *proxy) serve(conn net.Conn) {
	defer conn.Close()
	<-p.path()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer target.Close()
	var group sync.WaitGroup
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			<-p.path()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		to.(*net.TCPConn).CloseWrite()
	}
	group.Go(func() { pass(target, conn) })
	group.Go(func() { pass(conn, target) })
	group.Wait()
}

// daemon is a process of the program, started with the command of the deploy file.
type daemon struct {
	name    string
	callers string
	ready   string
	storage *proxy // To the store.
	log     string
	boot    string
	command *exec.Cmd
	exited  chan struct{}
}

// system is a small deployment.
type system struct {
	dir     string
	record  *record
	store   *store
	fleet   *fleet
	ledger  *ledger
	daemons []*daemon
	server  *http.Server
	storeAt string
	version int
}

func newSystem(r *record) *system {
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		fail("create a folder: %v", err)
	}
	s := &system{dir: dir, record: r, store: newStore(), ledger: &ledger{record: r}}
	s.fleet = &fleet{store: s.store, ledger: s.ledger, length: func(string) time.Duration { return time.Second }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen for the store: %v", err)
	}
	s.server = &http.Server{Handler: s.store.handler()}
	go s.server.Serve(listener)
	s.storeAt = listener.Addr().String()
	return s
}

// bounds are those of a small deployment.
var bounds = map[string]any{
	"max-hold-ms": maxHold.Milliseconds(), "grace-s": 6, "status_s": 120, "upkeep-s": 2, "move-s": 1.5, "notice-ms": 4500, "harm-ms": 4000,
	"pace-ms": 100, "stop-ms": 900, "stable-window-ms": 3000, "visible_ms": 3000, "cancel_ms": 3000,
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/([^}]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)
)

// fill fills in the template of the settings, for the fields that a deployment without moves of machines has.
func fill(template string, fields map[string]any) string {
	find := func(path string) any {
		var at any = fields
		for _, part := range strings.Split(path, ".") {
			switch v := at.(type) {
			case map[string]any:
				at = v[part]
			case []int:
				at = v[part[0]-'0']
			}
		}
		return at
	}
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		m := section.FindStringSubmatch(text)
		if find(m[1]) == nil {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.|json}}", fmt.Sprintf("%q", find(m[1])))
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		m := placeholder.FindStringSubmatch(text)
		value := find(m[1])
		if value == nil {
			return ""
		}
		if m[2] != "" {
			encoded, _ := json.Marshal(value)
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
}

// Ports of the processes are below the range from which the kernel takes ports of connections. Cases that are played at
// the same time take them from different blocks.
const (
	minPort    = 20_000
	portBlock  = 120
	portBlocks = 100
)

// takenPorts are the ports that this case has given out.
var takenPorts = map[int]bool{}

func freePort(ip string) int {
	first := minPort + os.Getpid()%portBlocks*portBlock
	for range 1000 {
		port := first + rand.IntN(portBlock)
		if takenPorts[port] {
			continue
		}
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		listener.Close()
		takenPorts[port] = true
		return port
	}
	fail("no free port")
	return 0
}

// addDaemon starts a process. root is the folder of the repository.
func (s *system) addDaemon(root string, number int, ip string) *daemon {
	template, err := os.ReadFile(filepath.Join(root, "deploy/settings.yaml"))
	if err != nil {
		fail("read the template: %v", err)
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		fail("read the deploy file: %v", err)
	}
	words := strings.Fields(regexp.MustCompile(`(?m)^run = "(.*)"`).FindStringSubmatch(string(deploy))[1])
	d := &daemon{name: fmt.Sprintf("front-zone-a-%d", number), storage: newProxy(s.storeAt)}
	peers := freePort(ip)
	d.callers, d.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
	settings := fill(string(template), map[string]any{
		"node": d.name, "zone": "zone-a", "ip": ip, "limits": map[string]any{"cpu-share": 0.4}, "listen": map[string]any{"front": d.callers, "ready": d.ready},
		"port-range": []int{peers, freePort(ip)}, "platform": map[string]any{"address": d.storage.address()}, "bounds": bounds,
	})
	d.boot, d.log = filepath.Join(s.dir, d.name+".yaml"), filepath.Join(s.dir, d.name+".log")
	if err := os.WriteFile(d.boot, []byte(settings), 0o600); err != nil {
		fail("write settings: %v", err)
	}
	s.daemons = append(s.daemons, d)
	s.startDaemon(root, words, d)
	return d
}

func (s *system) startDaemon(root string, words []string, d *daemon) {
	output, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("create a log: %v", err)
	}
	d.command = exec.Command(filepath.Join(root, words[0]), words[1:]...)
	d.command.Dir = root
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTCRANK_BOOT=" + d.boot}
	d.command.Stdout, d.command.Stderr = output, output
	// The kernel ends the process if the case itself is killed.
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		fail("start %s: %v", d.name, err)
	}
	d.exited = make(chan struct{})
	command, exited := d.command, d.exited
	go func() {
		_ = command.Wait()
		output.Close()
		close(exited)
	}()
	s.record.line("%s is started", d.name)
}

// logHas reports whether the log of a process has a line with all of the texts.
func (d *daemon) logHas(texts ...string) bool {
	data, err := os.ReadFile(d.log)
	if err != nil {
		return false
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		all := true
		for _, t := range texts {
			all = all && bytes.Contains(line, []byte(t))
		}
		if all {
			return true
		}
	}
	return false
}

func (s *system) close() {
	for _, d := range s.daemons {
		if d.command == nil {
			continue
		}
		_ = d.command.Process.Signal(syscall.SIGCONT)
		_ = d.command.Process.Kill()
		<-d.exited
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(s.dir)
	}
}

// route is a queue of the configuration.
type route struct{ name, prefix, service string }

const host = "shop.example"

// configure writes a configuration as the operator does.
func (s *system) configure(services []string, routes []route) {
	s.version += 3
	list, names := []any{}, []string{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "service": r.service, "timeout-ms": 3000, "slo-ms": 600, "prio": 0, "attempts": 3, "stretch": 1.6,
		})
		names = append(names, r.name+" to "+r.service)
	}
	pools := []any{}
	for _, name := range services {
		pools = append(pools, map[string]any{"name": name, "rejects-overload": false})
	}
	s.store.put("op", "config", map[string]any{"version": s.version, "routes": list, "services": pools, "limits": map[string]any{"max-body-bytes": 262144}})
	s.record.line("operator: version %d is acknowledged: %s", s.version, strings.Join(names, ", "))
}

type answer struct {
	status int // 0 if there was none.
	body   string
}

// send sends a call of a client to a process.
func (s *system) send(d *daemon, method, path string, body any, limit time.Duration) answer {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			fail("encode a body: %v", err)
		}
		content = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+path, content)
	if err != nil {
		fail("build a request: %v", err)
	}
	request.Host = host
	request.Header.Set("X-Peridotcrank-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	sent := time.Now()
	a := answer{}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		data, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		if readErr == nil {
			a = answer{response.StatusCode, strings.TrimSpace(string(data))}
		}
	}
	s.record.line("client: %s %s to %s, sent %d ms ago: %d %s", method, path, d.name, time.Since(sent).Milliseconds(), a.status, a.body)
	return a
}

// await waits until a condition holds, and ends the case if it does not in time.
func await(what string, limit time.Duration, holds func() bool) {
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			fail("%s: not within %v", what, limit)
		}
	}
}

// awaitReady waits until all processes are ready.
func (s *system) awaitReady() {
	for _, d := range s.daemons {
		await(d.name+" is ready", 20*time.Second, func() bool {
			response, err := http.Get("http://" + d.ready + "/readyz")
			if err != nil {
				return false
			}
			response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
}
