package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
)

// Platform is a running stand-in whose servers listen on loopback addresses.
type Platform struct {
	Store *rowstest.Store
	Fleet *workertest.Fleet
	// StoreAddress and MachinesAddress have the form HOST:PORT.
	StoreAddress    string
	MachinesAddress string
	// OrderLog receives a line for each order that a worker has handled, unless it is nil. It is
	// set before workers are added.
	OrderLog io.Writer
	// TransactionTime is the time from a transaction of one part to its execution. One over several
	// parts takes twice as long. It is set before the store is used.
	TransactionTime time.Duration
	// IdleTimeout is the time after which workers close an idle connection; 0 for none. It is set before
	// workers are added.
	IdleTimeout time.Duration
	// MaxBodyBytes is the limit of bodies in the configuration.
	MaxBodyBytes int

	mu       sync.Mutex
	servers  []*http.Server
	machines map[string]*machine
	workers  map[worker.ID]*incarnation
	// startedAt are the times at which workers last received a start.
	startedAt map[worker.ID]time.Time
	// cuts are the owners that are cut off from the workers, by pool.
	cuts map[string]cut
	// replyDelay is how long the replies to all orders to workers are on their way.
	replyDelay time.Duration
	// heldUp are the workers whose calls are held up. The channel is closed when they go on.
	heldUp    map[worker.ID]chan struct{}
	heldPages map[*heldPages]bool
	// replyLoss are the numbers of replies of which one is lost, by pool.
	replyLoss map[string]int
	replies   int // Number of replies so far.
}

type machine struct {
	Machine  string         `json:"machine"`
	Pool     string         `json:"pool"`
	State    string         `json:"state"`
	Zone     string         `json:"zone"`
	Labels   []string       `json:"labels"`
	Capacity map[string]any `json:"capacity"`
	ID       string         `json:"id"`
}

const defaultMaxBodyBytes = 64 << 10

// Capacity is the default capacity of a worker.
var Capacity = job.Resources{CPU: 8000, MemoryMB: 16384}

// Start starts a stand-in without workers. The function planRun determines how each run of a task
// behaves.
func Start(planRun func(job.TaskRef, int) workertest.RunPlan) (*Platform, error) {
	p := &Platform{
		Store: &rowstest.Store{}, Fleet: workertest.New(planRun),
		machines: map[string]*machine{}, workers: map[worker.ID]*incarnation{}, startedAt: map[worker.ID]time.Time{},
		cuts: map[string]cut{}, heldUp: map[worker.ID]chan struct{}{}, heldPages: map[*heldPages]bool{}, replyLoss: map[string]int{},
		MaxBodyBytes: defaultMaxBodyBytes,
	}
	var err error
	if p.StoreAddress, err = p.serve(&http.Server{Handler: p.storeHandler()}); err != nil {
		return nil, err
	}
	p.MachinesAddress, err = p.serve(&http.Server{Handler: p.machineHandler()})
	return p, err
}

// Close closes all servers of the stand-in with their connections.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.Close()
	}
}

func (p *Platform) serve(server *http.Server) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	p.mu.Lock()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	go server.Serve(listener) // Returns after Close.
	return listener.Addr().String(), nil
}

// AddWorkers adds n VMs to a pool, starts a worker with the given capacity on each and
// registers it in the table service.
func (p *Platform) AddWorkers(pool string, n int, capacity job.Resources) error {
	for i := range n {
		id := worker.ID(fmt.Sprintf("w-%s-%d", pool, i))
		address, err := p.serve(&http.Server{Handler: p.workerHandler(id), ConnContext: p.bindConnections(id), IdleTimeout: p.IdleTimeout})
		if err != nil {
			return err
		}
		info := worker.Info{ID: id, Pool: pool, Address: address, State: worker.Ready, Capacity: capacity, Labels: []string{"a", fmt.Sprintf("rack-%d", i/4)}, StartedUnixMs: 1}
		p.Fleet.Add(info)
		p.mu.Lock()
		p.workers[id] = newIncarnation(info, newProcess())
		p.machines["m-"+string(id)] = &machine{
			Machine: "m-" + string(id), Pool: pool, State: "up", Labels: info.Labels, ID: string(id),
			Capacity: map[string]any{"cpu": capacity.CPU, "mem-mb": capacity.MemoryMB},
		}
		p.mu.Unlock()
		if err := p.register(info); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) register(info worker.Info) error {
	return p.putRow("servers", string(info.ID), map[string]any{
		"service": info.Pool, "address": info.Address, "state": "ready", "labels": info.Labels, "born": info.StartedUnixMs,
		"capacity": map[string]any{"cpu": info.Capacity.CPU, "mem-mb": info.Capacity.MemoryMB},
	})
}

// deregister removes the entry of a worker from the registry.
func (p *Platform) deregister(id worker.ID) {
	p.Store.Drop(rows.Key{Table: "servers", Name: string(id)})
}

// Queue is a job queue of the configuration, with its route and the pool that runs its jobs.
type Queue struct {
	Name, Host, Prefix, Pool string
}

// tenantWeight is the number of jobs per second that a workspace may send. It is above the
// load of the callers.
const tenantWeight = 100

// Tenant is a workspace of the configuration with the keys of its callers.
type Tenant struct {
	Name   string
	Keys   []string
	CapCPU int64 // In thousandths of a core; 0 for no limit.
}

// Configure writes a configuration with the given version to the table service, as the operator does.
// Without tenants, the configuration has no workspaces.
func (p *Platform) Configure(version int, pools []string, queues []Queue, tenants []Tenant) error {
	services, routes := []any{}, []any{}
	for _, pool := range pools {
		services = append(services, map[string]any{"name": pool})
	}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.Name, "host": q.Host, "prefix": q.Prefix, "service": q.Pool,
			"timeout-ms": 3000, "slo-ms": 600, "attempts": 3, "stretch": 1.5,
		})
	}
	config := map[string]any{
		"version": version, "services": services, "routes": routes, "limits": map[string]any{"max-body-bytes": p.MaxBodyBytes},
	}
	if len(tenants) > 0 {
		config["tenants"] = encodeTenants(tenants)
	}
	return p.putRow("op", "config", config)
}

func encodeTenants(tenants []Tenant) []any {
	encoded := []any{}
	for _, t := range tenants {
		encoded = append(encoded, map[string]any{
			"name": t.Name, "api-keys": t.Keys, "weight": tenantWeight, "cap": map[string]any{"cpu": t.CapCPU},
		})
	}
	return encoded
}

func (p *Platform) putRow(table, name string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	p.Store.Put(rows.Row{Key: rows.Key{Table: table, Name: name}, Value: encoded})
	return nil
}

func (p *Platform) machineHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		list := []*machine{}
		for _, m := range p.machines {
			list = append(list, m)
		}
		writeJSON(w, http.StatusOK, map[string]any{"machines": list, "next-token": nil})
	})
	// Refuses every move and maintenance of a VM.
	refuseBusy := func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
	}
	mux.HandleFunc("POST /machine-move", refuseBusy)
	mux.HandleFunc("POST /machine-upkeep", refuseBusy)
	return mux
}
