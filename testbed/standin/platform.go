package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
)

// Platform is a running stand-in on loopback.
type Platform struct {
	Store *rowstest.Store
	Fleet *workertest.Fleet
	// StoreAddress and MachinesAddress are HOST:PORT.
	StoreAddress    string
	MachinesAddress string

	mu       sync.Mutex
	servers  []*http.Server
	machines map[string]*machine
	workers  map[worker.ID]worker.Info
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

// Capacity is what each worker has.
var Capacity = job.Resources{CPU: 8000, MemoryMB: 16384}

// Start starts a stand-in whose tasks behave as told.
func Start(behave func(job.TaskRef, int) workertest.RunPlan) (*Platform, error) {
	p := &Platform{
		Store: &rowstest.Store{}, Fleet: workertest.New(behave),
		machines: map[string]*machine{}, workers: map[worker.ID]worker.Info{},
	}
	var err error
	if p.StoreAddress, err = p.serve(p.storeHandler()); err != nil {
		return nil, err
	}
	p.MachinesAddress, err = p.serve(p.machineHandler())
	return p, err
}

// Close ends all servers of the stand-in.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.Close()
	}
}

func (p *Platform) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h}
	p.mu.Lock()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	go server.Serve(listener) // It ends by Close.
	return listener.Addr().String(), nil
}

// AddWorkers adds VMs with workers to a pool.
func (p *Platform) AddWorkers(pool string, n int) error {
	for i := range n {
		id := worker.ID(fmt.Sprintf("w-%s-%d", pool, i))
		address, err := p.serve(p.workerHandler(id))
		if err != nil {
			return err
		}
		info := worker.Info{ID: id, Pool: pool, Address: address, State: worker.Ready, Capacity: Capacity, Labels: []string{"a", fmt.Sprintf("rack-%d", i/4)}, StartedUnixMs: 1}
		p.Fleet.Add(info)
		p.mu.Lock()
		p.workers[id] = info
		p.machines["m-"+string(id)] = &machine{
			Machine: "m-" + string(id), Pool: pool, State: "up", Labels: info.Labels, ID: string(id),
			Capacity: map[string]any{"cpu": Capacity.CPU, "mem-mb": Capacity.MemoryMB},
		}
		p.mu.Unlock()
		if err := p.register(info); err != nil {
			return err
		}
	}
	return nil
}

// Reborn starts a worker anew under its id.
func (p *Platform) Reborn(id worker.ID) error {
	p.mu.Lock()
	info := p.workers[id]
	info.StartedUnixMs++
	p.workers[id] = info
	p.mu.Unlock()
	p.Fleet.Add(info)
	return p.register(info)
}

func (p *Platform) register(info worker.Info) error {
	return p.put("servers", string(info.ID), map[string]any{
		"service": info.Pool, "address": info.Address, "state": "ready", "labels": info.Labels, "born": info.StartedUnixMs,
		"capacity": map[string]any{"cpu": info.Capacity.CPU, "mem-mb": info.Capacity.MemoryMB},
	})
}

// Queue is a queue of the stand-in's configuration.
type Queue struct {
	Name, Host, Prefix, Pool string
}

// Configure writes a configuration as the operator.
func (p *Platform) Configure(version int, pools []string, queues []Queue) error {
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
	return p.put("op", "config", map[string]any{
		"version": version, "services": services, "routes": routes, "limits": map[string]any{"max-body-bytes": 65536},
	})
}

func (p *Platform) put(table, name string, value any) error {
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
		answer(w, http.StatusOK, map[string]any{"machines": list, "next-token": nil})
	})
	// VMs of the stand-in stay where they are.
	busy := func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusConflict, map[string]any{"reason": "busy"})
	}
	mux.HandleFunc("POST /machine-move", busy)
	mux.HandleFunc("POST /machine-upkeep", busy)
	return mux
}
