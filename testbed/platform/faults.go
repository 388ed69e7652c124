package platform

import (
	"net/http"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store/storetest"
)

// FaultRequest is the body of POST /v1/faults. Absent fields keep their value.
type FaultRequest struct {
	// Faults replaces the faults of the table service. An empty list removes them all.
	Faults *[]storetest.Fault `json:"faults,omitempty"`
	// ListLagMS is the time until a change is visible in the VM list, in milliseconds.
	ListLagMS *int64 `json:"list_lag_ms,omitempty"`
	// RebootMS is the duration of reboots that start from now on, in milliseconds.
	RebootMS *int64 `json:"reboot_ms,omitempty"`
	// FailReboots lists the VMs whose later reboots fail.
	FailReboots *[]fleet.VMID `json:"fail_reboots,omitempty"`
}

func (s *server) setFaults(w http.ResponseWriter, r *http.Request) {
	var req FaultRequest
	if !readJSON(w, r, &req) {
		return
	}
	if (req.ListLagMS != nil && *req.ListLagMS < 0) || (req.RebootMS != nil && *req.RebootMS < 0) {
		http.Error(w, "a duration is negative", http.StatusBadRequest)
		return
	}
	if req.Faults != nil {
		for _, f := range *req.Faults {
			if err := f.Validate(); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		s.table.SetFaults(*req.Faults...)
	}
	s.vms.setFaults(req)
	s.getFaults(w, r)
}

func (s *server) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.vms.currentFaults(s.table.Faults()))
}
