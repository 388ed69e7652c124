package backend

import (
	"sync"
	"time"
)

// Run records one request that a backend server ran or answered with an error.
type Run struct {
	VM      string `json:"vm"`
	Service string `json:"service"` // First segment of the path.
	Method  string `json:"method"`
	// Key is the Idempotency-Key of the caller. Request is the ID that the caller gave this submission.
	Key     string `json:"key,omitempty"`
	Request string `json:"request,omitempty"`
	// Start and End are in microseconds since the Unix epoch. End is 0 while the request runs.
	Start int64 `json:"start_us"`
	End   int64 `json:"end_us"`
	// Running is the number of requests in progress on the VM when this one started,
	// including this one.
	Running int `json:"running"`
	// Failed is set when the server answered with status 500 without using a slot.
	Failed bool `json:"failed,omitempty"`
}

// RunLog records the runs of all backend servers in the order in which they start.
type RunLog struct {
	mu   sync.Mutex
	runs []Run
}

func (l *RunLog) recordStart(r Run) int {
	r.Start = time.Now().UnixMicro()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

func (l *RunLog) recordEnd(index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[index].End = time.Now().UnixMicro()
}

// Runs returns a copy of all runs, including those still in progress.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}
