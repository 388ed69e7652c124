package eventlog

import (
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter writes lines to another writer in its own goroutine, so that a
// slow reader of the log never blocks the process. It drops and counts the
// lines that arrive while its queue is full.
type AsyncWriter struct {
	lines   chan line
	dropped atomic.Uint64
}

// line is a line to write. If written is set, it is a marker instead: written is
// closed once all previous lines have been written.
type line struct {
	text    []byte
	written chan struct{}
}

// NewAsyncWriter returns a writer whose queue holds the given number of lines.
func NewAsyncWriter(w io.Writer, queue int) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan line, queue)}
	go a.run(w)
	return a
}

func (a *AsyncWriter) run(w io.Writer) {
	for next := range a.lines {
		if next.written != nil {
			close(next.written)
			continue
		}
		if _, err := w.Write(next.text); err != nil {
			a.dropped.Add(1)
		}
	}
}

// Write queues a copy of a line, or drops it if the queue is full. It never
// returns an error.
func (a *AsyncWriter) Write(text []byte) (int, error) {
	select {
	case a.lines <- line{text: append([]byte(nil), text...)}:
	default:
		a.dropped.Add(1)
	}
	return len(text), nil
}

// Dropped returns the number of lines that were dropped or could not be written.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Flush waits until the lines that are queued now have been written. It waits at
// most limit for space in the queue, and at most limit for the writes.
func (a *AsyncWriter) Flush(limit time.Duration) {
	written := make(chan struct{})
	select {
	case a.lines <- line{written: written}:
	case <-time.After(limit):
		return
	}
	select {
	case <-written:
	case <-time.After(limit):
	}
}
