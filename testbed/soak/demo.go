package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/testbed/standin"
)

const (
	demoProcesses    = 3
	demoPools        = 5
	demoPoolWorkers  = 4
	demoWorkspaces   = 8
	demoWeight       = 2 // Jobs per second of each workspace.
	demoSurgeFactor  = 10
	demoLoadDuration = 22 * time.Second
	demoSurgeStart   = 5 * time.Second
	demoSurgeEnd     = 11 * time.Second
	demoKillAt       = 13 * time.Second
	demoRestartAt    = 17 * time.Second
	// demoSubmitTimeout is how long a caller repeats a submission. It is longer than the
	// time until other processes own the pools of a killed one.
	demoSubmitTimeout = 12 * time.Second
	// demoJobTimeout is how long after its submission a job may take before it counts as
	// lost.
	demoJobTimeout   = 25 * time.Second
	demoPollInterval = 300 * time.Millisecond
	demoUnknownKey   = "key-of-nobody"
)

// demoJob is a job with what its caller has seen.
type demoJob struct {
	id        job.ID
	workspace int
	path      string
	accepted  bool
	refused   bool // Every attempt was refused with status 429 or 503.
	completed bool
	took      time.Duration // From the first attempt until the job was seen completed.
	problem   string
}

// demo shows the job path: five pools, workspaces with keys, a surge of one workspace and
// a killed process.
type demo struct {
	run
	out    io.Writer
	client *http.Client
	mu     sync.Mutex
	jobs   []*demoJob
}

// Demo runs the demonstration and prints a summary to out. The error wraps [ErrBroken] when
// a job was lost, a task ran twice, a refused job ran or an unknown key was accepted.
func Demo(binary, dir string, out io.Writer) error {
	d := &demo{out: out, client: &http.Client{Timeout: requestTimeout}}
	d.startedAt = time.Now()
	defer d.close()
	d.printf("start the platform, %d pools of %d workers and %d processes", demoPools, demoPoolWorkers, demoProcesses)
	if err := d.startDemoSystem(binary, dir); err != nil {
		return err
	}
	unknownKeyStatus := d.send(http.MethodPost, &demoJob{id: "00000000000000ff", path: demoPath(0)}, demoUnknownKey, demoBody("unknown", 1)).status
	d.printf("a call with an unknown key gets status %d", unknownKeyStatus)
	d.runDemoLoad()
	return d.summarize(unknownKeyStatus)
}

func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%5.1f s  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func demoPath(pool int) string        { return fmt.Sprintf("/pool-%d/", pool) }
func demoKey(workspace int) string    { return fmt.Sprintf("key-of-workspace-%d", workspace) }
func demoPoolName(pool int) string    { return fmt.Sprintf("pool-%d", pool) }
func demoBody(spec string, n int) any { return map[string]any{"spec": spec, "steps": demoSteps(n)} }

func demoSteps(n int) []map[string]any {
	return []map[string]any{
		{"count": n, "cpu": 2500, "mem-mb": 100, "est-ms": 500},
		{"count": 1, "cpu": 2500, "mem-mb": 100, "est-ms": 500, "after": []int{0}},
	}
}

func (d *demo) startDemoSystem(binary, dir string) error {
	var err error
	if d.platform, err = standin.Start(d.planRun); err != nil {
		return err
	}
	for pool := range demoPools {
		if err := d.platform.AddWorkers(demoPoolName(pool), demoPoolWorkers, standin.Capacity); err != nil {
			return err
		}
	}
	if err := d.writeDemoConfiguration(); err != nil {
		return err
	}
	for i := range demoProcesses {
		p, err := newProcess(dir, binary, fmt.Sprintf("entry-%d", i), d.platform.StoreAddress, d.platform.MachinesAddress, defaultMaxLease, true)
		if err != nil {
			return err
		}
		d.processes = append(d.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

// writeDemoConfiguration writes a configuration with workspaces, as the operator does.
func (d *demo) writeDemoConfiguration() error {
	services, routes, tenants := []any{}, []any{}, []any{}
	for pool := range demoPools {
		services = append(services, map[string]any{"name": demoPoolName(pool)})
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("queue-%d", pool), "host": host, "prefix": demoPath(pool), "service": demoPoolName(pool),
			"timeout-ms": 3000, "slo-ms": 600, "attempts": 2, "stretch": 1.5,
		})
	}
	for w := range demoWorkspaces {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("workspace-%d", w), "api-keys": []string{demoKey(w)}, "weight": demoWeight})
	}
	value, err := json.Marshal(map[string]any{
		"version": 1, "services": services, "routes": routes, "tenants": tenants, "limits": map[string]any{"max-body-bytes": 65536},
	})
	if err != nil {
		return err
	}
	d.platform.Store.Put(rows.Row{Key: rows.Key{Table: "op", Name: "config"}, Value: value})
	return nil
}

// awaitReady waits until each pool has accepted a job.
func (d *demo) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for pool := range demoPools {
		probe := &demoJob{id: job.ID(fmt.Sprintf("%016x", pool+1)), path: demoPath(pool)}
		for d.send(http.MethodPost, probe, demoKey(0), demoBody("probe", 1)).status != http.StatusOK {
			if time.Now().After(deadline) {
				return fmt.Errorf("pool %d accepted no job within %v of the start", pool, readyTimeout)
			}
			time.Sleep(pollInterval)
		}
		probe.accepted = true
		d.jobs = append(d.jobs, probe)
	}
	return nil
}

type demoReply struct {
	status int // 0 when no complete response arrives.
	body   []byte
}

// send sends a call about a job to a random process.
func (d *demo) send(method string, j *demoJob, key string, body any) demoReply {
	encoded, err := json.Marshal(body)
	if err != nil {
		return demoReply{}
	}
	p := d.processes[rand.IntN(len(d.processes))]
	request, err := http.NewRequest(method, "http://"+p.callersAddress+j.path+string(j.id), bytes.NewReader(encoded))
	if err != nil {
		return demoReply{}
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := d.client.Do(request)
	if err != nil {
		return demoReply{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return demoReply{}
	}
	return demoReply{response.StatusCode, data}
}

// runDemoLoad sends the load of all workspaces, and kills and restarts a process meanwhile.
func (d *demo) runDemoLoad() {
	ctx, cancel := context.WithTimeout(context.Background(), demoLoadDuration)
	defer cancel()
	var group sync.WaitGroup
	for w := range demoWorkspaces {
		group.Go(func() { d.sendWorkspaceLoad(ctx, w, &group) })
	}
	d.printf("%d workspaces send %d jobs a second each", demoWorkspaces, demoWeight)
	pause(ctx, demoSurgeStart)
	d.printf("workspace-0 sends %d times its load", demoSurgeFactor)
	pause(ctx, demoSurgeEnd-demoSurgeStart)
	d.printf("the surge ends")
	pause(ctx, demoKillAt-demoSurgeEnd)
	victim := d.processes[0]
	victim.terminate(syscall.SIGKILL, killTimeout)
	d.printf("%s is killed", victim.name)
	pause(ctx, demoRestartAt-demoKillAt)
	if err := victim.start(); err != nil {
		d.printf("%s does not start: %v", victim.name, err)
	} else {
		d.printf("%s is started again", victim.name)
	}
	<-ctx.Done()
	d.printf("the load ends")
	group.Wait()
}

func (d *demo) sendWorkspaceLoad(ctx context.Context, workspace int, group *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(1, uint64(workspace)))
	for start := time.Now(); ctx.Err() == nil; {
		j := &demoJob{id: job.ID(fmt.Sprintf("%016x", rng.Uint64())), workspace: workspace, path: demoPath(rng.IntN(demoPools))}
		d.mu.Lock()
		d.jobs = append(d.jobs, j)
		d.mu.Unlock()
		tasks := 1 + rng.IntN(4)
		group.Go(func() { d.follow(j, tasks) })
		rate := float64(demoWeight)
		if at := time.Since(start); workspace == 0 && at > demoSurgeStart && at < demoSurgeEnd {
			rate *= demoSurgeFactor
		}
		pause(ctx, time.Duration(rng.ExpFloat64()/rate*float64(time.Second)))
	}
}

// follow submits a job, and waits until it is completed.
func (d *demo) follow(j *demoJob, tasks int) {
	start := time.Now()
	key, refusals, attempts := demoKey(j.workspace), 0, 0
	for ; !j.accepted && time.Since(start) < demoSubmitTimeout; attempts++ {
		switch reply := d.send(http.MethodPost, j, key, demoBody(string(j.id), tasks)); reply.status {
		case http.StatusOK:
			j.accepted = true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			refusals++
			time.Sleep(retryPause)
		case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusConflict:
			j.problem = fmt.Sprintf("submission got status %d", reply.status)
			return
		default:
			time.Sleep(retryPause)
		}
	}
	j.refused = !j.accepted && refusals == attempts
	for j.accepted && !j.completed {
		time.Sleep(demoPollInterval)
		reply := d.send(http.MethodGet, j, key, nil)
		j.completed = reply.status == http.StatusOK && bytes.Contains(reply.body, []byte(`"completed"`))
		if j.took = time.Since(start); !j.completed && (reply.status == http.StatusGone || j.took > demoJobTimeout) {
			j.problem = fmt.Sprintf("accepted, but not completed after %v: status %d %s", j.took.Round(time.Millisecond), reply.status, reply.body)
			return
		}
	}
}

// summarize prints the results by workspace, and returns an error when a guarantee was
// broken.
func (d *demo) summarize(unknownKeyStatus int) error {
	violations := d.platform.Fleet.Violations()
	if unknownKeyStatus == http.StatusOK {
		violations = append(violations, "a call with an unknown key was accepted")
	}
	fmt.Fprintf(d.out, "\n%-12s %6s %9s %8s %11s %10s %8s %8s\n", "workspace", "sent", "accepted", "refused", "unanswered", "completed", "median", "slowest")
	for w := range demoWorkspaces {
		var sent, accepted, refused, completed int
		var took []time.Duration
		for _, j := range d.jobs[demoPools:] {
			if j.workspace != w {
				continue
			}
			sent++
			if j.accepted {
				accepted++
			}
			if j.refused {
				refused++
			}
			if j.completed {
				completed++
				took = append(took, j.took)
			}
		}
		slices.Sort(took)
		if len(took) == 0 {
			took = []time.Duration{0}
		}
		fmt.Fprintf(d.out, "workspace-%-2d %6d %9d %8d %11d %10d %7.1fs %7.1fs\n", w, sent, accepted, refused, sent-accepted-refused, completed,
			took[len(took)/2].Seconds(), took[len(took)-1].Seconds())
	}
	for _, j := range d.jobs {
		if j.problem != "" {
			violations = append(violations, fmt.Sprintf("job %s: %s", j.id, j.problem))
		}
		if j.refused && d.platform.Fleet.Starts(job.TaskRef{Job: j.id}) > 0 {
			violations = append(violations, fmt.Sprintf("job %s was refused, but ran", j.id))
		}
	}
	if len(violations) > 0 {
		return errors.Join(ErrBroken, errors.New(strings.Join(violations, "\n")))
	}
	fmt.Fprintln(d.out, "no accepted job was lost, and no task ran twice")
	return nil
}
