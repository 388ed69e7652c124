package eventlog

import (
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter passes lines on to a writer on its own goroutine, so that a
// reader of the log that is slow never blocks the process. Lines that find its
// queue full are dropped and counted.
type AsyncWriter struct {
	lines   chan line
	dropped atomic.Uint64
}

// line is a line to write, or a request to say that those before it were written.
type line struct {
	text    []byte
	written chan struct{}
}

// NewAsyncWriter returns a writer that queues up to a number of lines.
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

// Write queues a line. It never fails.
func (a *AsyncWriter) Write(text []byte) (int, error) {
	select {
	case a.lines <- line{text: append([]byte(nil), text...)}:
	default:
		a.dropped.Add(1)
	}
	return len(text), nil
}

// Dropped returns the number of lines that were not written.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Flush waits, for a limited time, until what is queued now is written.
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
