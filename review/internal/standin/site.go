package standin

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// Host is the host of all routes.
const Host = "shop.example"

// Queue is a route of the configuration.
type Queue struct {
	Name, Prefix, Pool string
	Attempts           int
}

// Site is a small deployment: a store, pools of workers and processes of the program under
// test.
type Site struct {
	Record    *Record
	Store     *Store
	Fleet     *Fleet
	Processes []*Process

	dir         string
	storeServer *http.Server
	StoreAddr   string
	machines    string // Address of the service for machines, or "".
	pools       []string
	version     int
}

// NewSite starts the store and the given number of workers in each pool.
func NewSite(record *Record, pools []string, workers int) (*Site, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	s := &Site{Record: record, Store: NewStore(record), dir: dir, pools: pools}
	s.storeServer, s.StoreAddr = Serve(s.Store.Handler())
	s.Fleet = NewFleet(record, s.Store)
	for _, pool := range pools {
		for i := range workers {
			s.Fleet.Add(pool, fmt.Sprintf("m-%s-%d", pool, i), fmt.Sprintf("rack-%s-%d", pool, i/4))
		}
	}
	return s, nil
}

// Configure writes the next version of the configuration, as the operator does.
func (s *Site) Configure(queues ...Queue) {
	s.version += 3
	services, routes := []any{}, []any{}
	for _, pool := range s.pools {
		services = append(services, map[string]any{"name": pool, "rejects-overload": false, "spare": false})
	}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.Name, "host": Host, "prefix": q.Prefix, "service": q.Pool, "timeout-ms": 3000, "slo-ms": 600, "prio": 0,
			"attempts": q.Attempts, "stretch": 1.6,
		})
	}
	s.Store.Put("op", "config", map[string]any{"version": s.version, "routes": routes, "services": services, "limits": map[string]any{"max-body-bytes": MaxBodyBytes}})
	s.Record.Printf("operator: configuration %d is acknowledged: %+v", s.version, queues)
}

// MaxBodyBytes is the limit of request bodies in the configuration.
const MaxBodyBytes = 262144

// StartProcesses starts processes and waits until all are ready.
func (s *Site) StartProcesses(binary string, n int, machines string) error {
	s.machines = machines
	for range n {
		if _, err := s.AddProcess(binary); err != nil {
			return err
		}
	}
	for _, p := range s.Processes {
		if !p.AwaitReady(15 * time.Second) {
			return fmt.Errorf("%s isn't ready", p.Name)
		}
	}
	return nil
}

// AddProcess starts one more process.
func (s *Site) AddProcess(binary string) (*Process, error) {
	p, err := NewProcess(s.Record, binary, s.dir, fmt.Sprintf("front-%d", len(s.Processes)+1), s.StoreAddr, s.machines)
	if err != nil {
		return nil, err
	}
	s.Processes = append(s.Processes, p)
	return p, p.Start()
}

// Submit hands a job in at a process until it is accepted, as a client does, and reports
// whether it was.
func (s *Site) Submit(p *Process, path string, body any, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if a := p.Call(http.MethodPost, Host, path, body, false); a.Status/100 == 2 {
			return true
		}
	}
	return false
}

// AwaitState polls a job until it has the state.
func (s *Site) AwaitState(p *Process, path, state string, limit time.Duration) bool {
	last := Answer{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		a := p.Call(http.MethodGet, Host, path, nil, true)
		if a != last {
			s.Record.Printf("client: GET %s at %s: %d %s", path, p.Name, a.Status, a.Body)
		}
		last = a
		if a.State() == state {
			return true
		}
	}
	return false
}

// Close ends all processes and servers, and removes the temporary folder.
func (s *Site) Close() {
	for _, p := range s.Processes {
		p.Kill()
	}
	s.Fleet.Close()
	s.storeServer.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println(s.dir)
	}
}
