package watch

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"peridotcrank.dev/admin/client"
)

const probeTimeout = time.Second

// Entry is an entry process to observe.
type Entry struct {
	Callers string // IP:port for callers.
	Admin   *client.Client
}

// Versions checks that the configuration in force never becomes older.
type Versions struct {
	inForce  uint64
	process  map[string]uint64
	Samples  int // Samples of ready processes.
	Findings []string
}

// NewVersions returns a check without samples.
func NewVersions() *Versions { return &Versions{process: make(map[string]uint64)} }

// ReportedInForce records that a process reported a version in force everywhere.
func (v *Versions) ReportedInForce(version uint64) { v.inForce = max(v.inForce, version) }

// Ready records the version of a process that was ready, asked after all calls
// of ReportedInForce so far.
func (v *Versions) Ready(entry string, version uint64) {
	v.Samples++
	if version < v.inForce {
		v.Findings = append(v.Findings, fmt.Sprintf("%s is ready with version %d after version %d was in force", entry, version, v.inForce))
	}
	if before := v.process[entry]; version < before {
		v.Findings = append(v.Findings, fmt.Sprintf("%s went back from version %d to %d", entry, before, version))
	}
	v.process[entry] = max(v.process[entry], version)
}

// Sample asks each process once. Processes that do not answer are passed over.
func (v *Versions) Sample(ctx context.Context, entries []Entry) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for _, e := range entries {
		if status, err := e.Admin.ConfigurationStatus(ctx); err == nil && status.InForce {
			v.ReportedInForce(status.Version)
		}
	}
	for _, e := range entries {
		if !ready(ctx, e.Callers) {
			continue
		}
		if configuration, err := e.Admin.Configuration(ctx); err == nil {
			v.Ready(e.Callers, configuration.Version)
		}
	}
}

func ready(ctx context.Context, callers string) bool {
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
