package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"time"
)

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// cloud is a stand-in of the platform's service for machines.
type cloud struct {
	world    *world
	store    *store
	machines map[string]*simMachine
	pools    map[string]bool
}

type simMachine struct {
	name, pool, state string
	rack              string
	cpu, memory       int
	worker            *simWorker
	fence             uint64
	lives             int
	upkept            map[int64]bool
}

func newCloud(w *world, s *store) *cloud {
	return &cloud{world: w, store: s, machines: map[string]*simMachine{}, pools: map[string]bool{}}
}

// addMachine adds a machine that is up with its worker.
func (c *cloud) addMachine(pool string, number int, cpu, memory int) (*simWorker, error) {
	name := fmt.Sprintf("m-%s-%d", pool, number)
	m := &simMachine{name: name, pool: pool, state: "up", rack: fmt.Sprintf("r-%s-%d", pool, number/4), cpu: cpu, memory: memory, upkept: map[int64]bool{}}
	worker, err := c.world.addWorker(c.store, fmt.Sprintf("w-%s-%d", pool, number), pool, m.rack, cpu, memory)
	if err != nil {
		return nil, err
	}
	m.worker = worker
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	c.machines[name], c.pools[pool] = m, true
	return worker, nil
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-move", func(w http.ResponseWriter, r *http.Request) { c.order(w, r, false) })
	mux.HandleFunc("POST /machine-upkeep", func(w http.ResponseWriter, r *http.Request) { c.order(w, r, true) })
	return mux
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	names := []string{}
	for name := range c.machines {
		names = append(names, name)
	}
	sort.Strings(names)
	list := []map[string]any{}
	for _, name := range names {
		m := c.machines[name]
		entry := map[string]any{
			"machine": name, "pool": m.pool, "state": m.state, "zone": "zone-a", "labels": []string{"a", m.rack},
			"capacity": map[string]any{"cpu": m.cpu, "mem-mb": m.memory, "gpu": 0}, "id": "",
		}
		if m.worker != nil && m.state == "up" {
			entry["id"] = m.worker.id
		}
		list = append(list, entry)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "next-token": ""})
}

func (c *cloud) order(w http.ResponseWriter, r *http.Request, upkeep bool) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("X-Peridotcrank-Fence-Token"), 10, 64)
	c.world.mu.Lock()
	status, reason := c.execute(body.Machine, body.Pool, body.Wave, fence, upkeep)
	c.world.mu.Unlock()
	if status == http.StatusConflict {
		writeJSON(w, status, map[string]any{"reason": reason})
		return
	}
	w.WriteHeader(status)
}

// execute carries an order out. The caller holds the lock of the world.
func (c *cloud) execute(machine, pool string, wave int64, fence uint64, upkeep bool) (status int, reason string) {
	m := c.machines[machine]
	switch {
	case m == nil || !upkeep && !c.pools[pool]:
		return http.StatusBadRequest, ""
	case fence < m.fence:
		return http.StatusConflict, "fence"
	}
	m.fence = fence
	switch {
	case upkeep && m.upkept[wave], !upkeep && m.pool == pool:
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	away := moveTime
	if upkeep {
		away, m.state, m.upkept[wave] = upkeepTime, "upkeep", true
	} else {
		m.state, m.pool = "moving", pool
	}
	c.world.rec.printf("machine %s: %s to %s fence %d", m.name, m.state, m.pool, fence)
	former := m.worker
	go func() {
		former.crash()
		c.store.drop("servers", former.id)
	}()
	time.AfterFunc(away, func() { c.renew(m) })
	return http.StatusOK, ""
}

// renew brings a machine back with a new worker.
func (c *cloud) renew(m *simMachine) {
	c.world.mu.Lock()
	m.lives++
	id, pool := fmt.Sprintf("%s-%d", m.name, m.lives), m.pool
	c.world.mu.Unlock()
	worker, err := c.world.addWorker(c.store, id, pool, m.rack, m.cpu, m.memory)
	if err != nil {
		return
	}
	c.world.mu.Lock()
	m.worker, m.state = worker, "up"
	c.world.mu.Unlock()
}
