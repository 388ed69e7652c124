package watch

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"peridotcrank.dev/admin/client"
)

const probeTimeout = time.Second

// Entry holds the addresses of an entry process to observe.
type Entry struct {
	Callers string // IP:port for callers.
	Admin   *client.Client
}

// VersionCheck checks that no ready process has a configuration older than the one in force
// everywhere or than its own before.
type VersionCheck struct {
	inForce  uint64
	highest  map[string]uint64
	Samples  int // Number of samples of ready processes.
	Findings []string
}

// NewVersionCheck returns a check that has no samples yet.
func NewVersionCheck() *VersionCheck { return &VersionCheck{highest: make(map[string]uint64)} }

// RecordInForce records a version that a process reported as in force everywhere.
func (v *VersionCheck) RecordInForce(version uint64) { v.inForce = max(v.inForce, version) }

// RecordReady records the version of a ready process and adds a finding when it is too old.
// The version must have been read after all previous calls of RecordInForce.
func (v *VersionCheck) RecordReady(entry string, version uint64) {
	v.Samples++
	if version < v.inForce {
		v.Findings = append(v.Findings, fmt.Sprintf("%s is ready with version %d after version %d was in force", entry, version, v.inForce))
	}
	if before := v.highest[entry]; version < before {
		v.Findings = append(v.Findings, fmt.Sprintf("%s went back from version %d to %d", entry, before, version))
	}
	v.highest[entry] = max(v.highest[entry], version)
}

// Sample reads the status and the version of each process once, and skips processes that do not respond.
func (v *VersionCheck) Sample(ctx context.Context, entries []Entry) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for _, e := range entries {
		if status, err := e.Admin.ConfigurationStatus(ctx); err == nil && status.InForce {
			v.RecordInForce(status.Version)
		}
	}
	for _, e := range entries {
		if !isReady(ctx, e.Callers) {
			continue
		}
		if configuration, err := e.Admin.Configuration(ctx); err == nil {
			v.RecordReady(e.Callers, configuration.Version)
		}
	}
}

func isReady(ctx context.Context, callers string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+callers+"/-/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
