package eventlog

import (
	"io"
	"sync/atomic"
	"time"
)

// reservedShare is the part of the queue that only lines of rare events use, as a
// divisor of its size.
const reservedShare = 4

// AsyncWriter writes lines to another writer in its own goroutine, so that a
// slow reader of the log never blocks the process. It drops and counts the
// lines that arrive while its queue is full. A part of the queue is reserved for
// the lines of rare events.
type AsyncWriter struct {
	lines    chan line
	reserved int // Lines of the queue.
	dropped  atomic.Uint64
}

// line is a line to write. If written is set, it is a marker instead: written is
// closed once all previous lines have been written.
type line struct {
	text    []byte
	written chan struct{}
}

// NewAsyncWriter returns a writer whose queue holds the given number of lines.
func NewAsyncWriter(w io.Writer, queue int) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan line, queue), reserved: queue / reservedShare}
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
	a.enqueue(append([]byte(nil), text...), false)
	return len(text), nil
}

// enqueue queues a line without copying it, and reports whether there was room for it.
// Only the line of a rare event uses the reserved part of the queue.
func (a *AsyncWriter) enqueue(text []byte, rare bool) bool {
	if rare || a.hasRoom() {
		select {
		case a.lines <- line{text: text}:
			return true
		default:
		}
	}
	a.dropped.Add(1)
	return false
}

// hasRoom reports whether the part of the queue that is not reserved has room.
func (a *AsyncWriter) hasRoom() bool { return len(a.lines) < cap(a.lines)-a.reserved }

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
