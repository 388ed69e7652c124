package platform

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
)

// vmRegistry holds the states of the VMs and their reboots.
type vmRegistry struct {
	now      func() time.Time
	onReboot func(fleet.VMID, bool)

	mu          sync.Mutex
	lag         time.Duration
	rebootTime  time.Duration
	failReboots map[fleet.VMID]bool
	byID        map[fleet.VMID]*listedVM
	reboots     map[rebootKey]*reboot
}

type listedVM struct {
	info    store.VMInfo
	changes []stateChange // The latest changes, oldest first.
}

type stateChange struct {
	at    time.Time
	state store.VMState
}

type rebootKey struct {
	vm        fleet.VMID
	operation string
}

type reboot struct {
	doneAt time.Time
	fails  bool
}

func newVMRegistry(o Options) *vmRegistry {
	v := &vmRegistry{
		now: o.Now, onReboot: o.OnReboot, lag: o.ListLag, rebootTime: o.RebootTime,
		failReboots: map[fleet.VMID]bool{}, byID: map[fleet.VMID]*listedVM{}, reboots: map[rebootKey]*reboot{},
	}
	for _, vm := range o.VMs {
		v.byID[vm.ID] = &listedVM{info: store.VMInfo{
			ID: vm.ID, Address: vm.Address, Rack: vm.Rack, Zone: vm.Zone,
			Slots: vm.Slots, Connections: vm.Connections, State: store.VMLive,
		}}
	}
	return v
}

// laggedList returns the VM list as it was one lag before now, sorted by ID.
func (v *vmRegistry) laggedList() []store.VMInfo {
	v.mu.Lock()
	defer v.mu.Unlock()
	visibleUntil := v.now().Add(-v.lag)
	infos := make([]store.VMInfo, 0, len(v.byID))
	for _, e := range v.byID {
		infos = append(infos, e.infoAt(visibleUntil))
	}
	slices.SortFunc(infos, func(a, b store.VMInfo) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return infos
}

func (e *listedVM) infoAt(visibleUntil time.Time) store.VMInfo {
	info := e.info
	for _, c := range e.changes {
		if !c.at.After(visibleUntil) {
			info.State = c.state
		}
	}
	return info
}

// maxChanges limits the state changes kept per VM. Older ones are visible at once.
const maxChanges = 64

func (v *vmRegistry) setState(id fleet.VMID, state store.VMState, at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.setStateLocked(id, state, at)
}

func (v *vmRegistry) setStateLocked(id fleet.VMID, state store.VMState, at time.Time) bool {
	e, ok := v.byID[id]
	if !ok {
		return false
	}
	if len(e.changes) == maxChanges {
		e.info.State = e.changes[0].state
		e.changes = e.changes[1:]
	}
	e.changes = append(e.changes, stateChange{at, state})
	return true
}

// startReboot starts a reboot unless the operation was started before. It returns false for an
// unknown VM.
func (v *vmRegistry) startReboot(id fleet.VMID, operation string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, ok := v.byID[id]; !ok {
		return false
	}
	key := rebootKey{id, operation}
	if _, known := v.reboots[key]; known {
		return true
	}
	now := v.now()
	done := now.Add(v.rebootTime)
	fails := v.failReboots[id]
	v.reboots[key] = &reboot{doneAt: done, fails: fails}
	v.setStateLocked(id, store.VMLeaving, now)
	if !fails {
		v.setStateLocked(id, store.VMLive, done)
	}
	if v.onReboot != nil {
		go v.onReboot(id, false)
		if !fails {
			time.AfterFunc(v.rebootTime, func() { v.onReboot(id, true) })
		}
	}
	return true
}

func (v *vmRegistry) rebootState(id fleet.VMID, operation string) store.RebootState {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.reboots[rebootKey{id, operation}]
	switch {
	case !ok:
		return store.RebootUnknown
	case v.now().Before(r.doneAt):
		return store.RebootRunning
	case r.fails:
		return store.RebootFailed
	}
	return store.RebootDone
}

func (v *vmRegistry) setFaults(req FaultRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if req.ListLagMS != nil {
		v.lag = time.Duration(*req.ListLagMS) * time.Millisecond
	}
	if req.RebootMS != nil {
		v.rebootTime = time.Duration(*req.RebootMS) * time.Millisecond
	}
	if req.FailReboots != nil {
		v.failReboots = map[fleet.VMID]bool{}
		for _, id := range *req.FailReboots {
			v.failReboots[id] = true
		}
	}
}

func (v *vmRegistry) currentFaults(tableFaults []storetest.Fault) FaultRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	lag, rebootTime := v.lag.Milliseconds(), v.rebootTime.Milliseconds()
	failing := make([]fleet.VMID, 0, len(v.failReboots))
	for id := range v.failReboots {
		failing = append(failing, id)
	}
	slices.Sort(failing)
	return FaultRequest{Faults: &tableFaults, ListLagMS: &lag, RebootMS: &rebootTime, FailReboots: &failing}
}

func (s *server) listVMs(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(store.VMList{VMs: s.vms.laggedList()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", fmt.Sprintf("%x", sha256.Sum256(body))[:etagDigits])
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // It fails only when the connection is closed.
}

// etagDigits is the number of hexadecimal digits of the VM list's ETag.
const etagDigits = 16

func (s *server) setVMState(w http.ResponseWriter, r *http.Request) {
	var req struct {
		State store.VMState `json:"state"`
	}
	if !readJSON(w, r, &req) {
		return
	}
	if req.State != store.VMLive && req.State != store.VMLeaving {
		http.Error(w, "state is not live or leaving", http.StatusBadRequest)
		return
	}
	if !s.vms.setState(fleet.VMID(r.PathValue("id")), req.State, s.vms.now()) {
		http.Error(w, "unknown VM", http.StatusNotFound)
	}
}

func (s *server) startReboot(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Operation string `json:"operation"`
	}
	if !readJSON(w, r, &req) {
		return
	}
	if req.Operation == "" {
		http.Error(w, "operation is missing", http.StatusBadRequest)
		return
	}
	if !s.vms.startReboot(fleet.VMID(r.PathValue("id")), req.Operation) {
		http.Error(w, "unknown VM", http.StatusNotFound)
		return
	}
	s.writeRebootState(w, r, req.Operation)
}

func (s *server) rebootState(w http.ResponseWriter, r *http.Request) {
	s.writeRebootState(w, r, r.PathValue("operation"))
}

func (s *server) writeRebootState(w http.ResponseWriter, r *http.Request, operation string) {
	state := s.vms.rebootState(fleet.VMID(r.PathValue("id")), operation)
	if state == store.RebootUnknown {
		http.Error(w, "unknown operation", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]store.RebootState{"state": state})
}
