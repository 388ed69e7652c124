// Package standin holds small stand-ins for the users' platform, its workers and clients, and
// starts processes of the program under test against them.
package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of what was sent, answered and run, with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Printf appends one line with the time.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }
