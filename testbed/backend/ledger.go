package backend

import (
	"sync"
	"time"
)

// Run is one request that a backend server ran.
type Run struct {
	VM      string `json:"vm"`
	Service string `json:"service"` // First segment of the path.
	Method  string `json:"method"`
	// Key is the caller's Idempotency-Key, Request its identity of this submission.
	Key     string `json:"key,omitempty"`
	Request string `json:"request,omitempty"`
	// Start and End are in microseconds since the Unix epoch. End is 0 while the request runs.
	Start int64 `json:"start_us"`
	End   int64 `json:"end_us"`
	// Running counts the requests that ran on the VM at the start, this one included.
	Running int `json:"running"`
	// Failed reports that the request was answered with status 500 and took no slot.
	Failed bool `json:"failed,omitempty"`
}

// Ledger records runs in the order of their starts.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
}

func (l *Ledger) start(r Run) int {
	r.Start = time.Now().UnixMicro()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

func (l *Ledger) end(index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[index].End = time.Now().UnixMicro()
}

// Runs returns a copy of all runs.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}
