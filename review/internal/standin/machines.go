package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	upkeepTime = 2 * time.Second
	moveTime   = 1500 * time.Millisecond
)

// Order is an order for a machine that has arrived.
type Order struct {
	Path, Machine, Pool, Holder string
	Wave                        int64
	Fence                       uint64
}

// Machines is the platform's list of machines with the orders for them.
type Machines struct {
	record *Record
	fleet  *Fleet
	Addr   string
	server *http.Server

	mu     sync.Mutex
	byName map[string]*machine
	names  []string
	waves  map[int64]*waveState
	// Hold decides whether an order gets no answer and is carried out later by CarryOut.
	Hold func(Order) bool
	// Violations are the upkeeps that began while cap machines of their wave were down.
	Violations []string
}

type machine struct {
	name, pool, state, rack string
	worker                  *Worker
	fence                   uint64
	serviced                map[int64]bool
}

type waveState struct {
	machines map[string]bool
	cap      int
	down     map[string]bool
}

// NewMachines lists the machines of a fleet's workers.
func NewMachines(record *Record, fleet *Fleet) *Machines {
	m := &Machines{record: record, fleet: fleet, byName: map[string]*machine{}, waves: map[int64]*waveState{}}
	for _, w := range fleet.all {
		m.byName[w.Machine] = &machine{name: w.Machine, pool: w.Pool, state: "up", rack: w.Rack, worker: w, serviced: map[int64]bool{}}
		m.names = append(m.names, w.Machine)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", m.list)
	mux.HandleFunc("POST /machine-move", m.serveOrder)
	mux.HandleFunc("POST /machine-upkeep", m.serveOrder)
	m.server, m.Addr = Serve(mux)
	return m
}

// Close closes the server.
func (m *Machines) Close() { m.server.Close() }

// AddWave writes a wave as the operator does.
func (m *Machines) AddWave(store *Store, number int64, machines []string, period time.Duration, cap int) {
	w := &waveState{machines: map[string]bool{}, cap: cap, down: map[string]bool{}}
	for _, name := range machines {
		w.machines[name] = true
	}
	m.mu.Lock()
	m.waves[number] = w
	m.mu.Unlock()
	store.Put("op", fmt.Sprintf("wave/%d", number), map[string]any{"wave": number, "machines": machines, "period-s": period.Seconds(), "cap": cap})
	m.record.Printf("operator: wave %d of %v within %v, at most %d at once", number, machines, period, cap)
}

// Down returns the machines of a wave that are down for their upkeep.
func (m *Machines) Down(wave int64) (names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.waves[wave].down {
		names = append(names, name)
	}
	return names
}

func (m *Machines) list(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []any{}
	for _, name := range m.names {
		v := m.byName[name]
		id := ""
		if v.worker != nil {
			id = v.worker.ID
		}
		list = append(list, map[string]any{
			"machine": v.name, "pool": v.pool, "state": v.state, "zone": "wa-south-a", "labels": []string{"a", v.rack},
			"capacity": map[string]any{"cpu": 32000, "mem-mb": 65536, "gpu": 0}, "id": id,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "next-token": nil})
}

func (m *Machines) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Peridotcrank-Fence-Token"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o := Order{r.URL.Path, body.Machine, body.Pool, r.Header.Get("X-Peridotcrank-Lease-Holder"), body.Wave, fence}
	if m.Hold != nil && m.Hold(o) {
		m.record.Printf("platform: %s of %s by %s, fence %d: no answer, carried out later", o.Path, o.Machine, o.Holder, o.Fence)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, reason := m.CarryOut(o)
	answer := map[string]any{}
	if reason != "" {
		answer["reason"] = reason
	}
	writeJSON(w, status, answer)
}

// CarryOut carries an order out and returns the answer to it.
func (m *Machines) CarryOut(o Order) (status int, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer func() {
		m.record.Printf("platform: %s of %s by %s, fence %d: %d %s", o.Path, o.Machine, o.Holder, o.Fence, status, reason)
	}()
	v := m.byName[o.Machine]
	if v == nil {
		return http.StatusBadRequest, "unknown"
	}
	if o.Fence < v.fence {
		return http.StatusConflict, "fence"
	}
	v.fence = o.Fence
	upkeep := o.Path == "/machine-upkeep"
	if upkeep && v.serviced[o.Wave] || !upkeep && v.pool == o.Pool {
		return http.StatusOK, ""
	}
	wave := m.waves[o.Wave]
	if upkeep && (wave == nil || !wave.machines[o.Machine]) {
		return http.StatusConflict, "wave"
	}
	if v.state != "up" {
		return http.StatusConflict, "busy"
	}
	pool, away := o.Pool, moveTime
	v.state = "moving"
	if upkeep {
		pool, away, v.state = v.pool, upkeepTime, "upkeep"
		if len(wave.down) >= wave.cap {
			m.Violations = append(m.Violations, fmt.Sprintf("the upkeep of %s begins at %.3f s while %d machines of the wave are down and its cap is %d", o.Machine, m.record.Now().Seconds(), len(wave.down), wave.cap))
			m.record.Printf("RULE LIMIT: %s", m.Violations[len(m.Violations)-1])
		}
		wave.down[o.Machine] = true
		v.serviced[o.Wave] = true
	}
	former := v.worker
	v.worker = nil
	go former.End()
	time.AfterFunc(away, func() {
		next := m.fleet.Add(pool, v.name, v.rack)
		m.mu.Lock()
		defer m.mu.Unlock()
		v.worker, v.pool, v.state = next, pool, "up"
		if upkeep {
			delete(wave.down, o.Machine)
		}
	})
	return http.StatusOK, ""
}
