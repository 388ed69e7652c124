package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// dropReportInterval is the minimum time between two reports of dropped lines.
const dropReportInterval = time.Second

// output formats events as log lines and writes them. It counts the lines that its
// writer drops by the code of their event.
type output struct {
	logger  *logrus.Logger // Formats lines.
	writer  io.Writer
	writing sync.Mutex // Serializes writes to a writer without a queue.

	mu         sync.Mutex   // Guards the fields below.
	dropped    map[Code]int // Since the last report.
	reportedAt time.Time
}

func newOutput(w io.Writer, f Format) *output {
	logger := logrus.New()
	if f == FormatText {
		logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	} else {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	return &output{logger: logger, writer: w, dropped: map[Code]int{}}
}

// write writes the line of an event. An [AsyncWriter] drops it if there is no room.
func (o *output) write(code Code, entry *logrus.Entry, rare bool) {
	text, err := entry.Bytes()
	if err == nil && o.writeLine(text, rare) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropped[code]++
}

// writeLine reports whether the line was queued or written.
func (o *output) writeLine(text []byte, rare bool) bool {
	if queue, ok := o.writer.(*AsyncWriter); ok {
		return queue.enqueue(text, rare)
	}
	o.writing.Lock()
	defer o.writing.Unlock()
	_, err := o.writer.Write(text)
	return err == nil
}

// takeDropped returns the numbers of dropped lines to report now: none while the queue
// has no room, and none before dropReportInterval has passed since the last report.
func (o *output) takeDropped(now time.Time) (dropped []suppressedLines) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.dropped) == 0 || now.Sub(o.reportedAt) < dropReportInterval {
		return nil
	}
	if queue, ok := o.writer.(*AsyncWriter); ok && !queue.hasRoom() {
		return nil
	}
	for code, lines := range o.dropped {
		dropped = append(dropped, suppressedLines{code, lines})
	}
	sortByCode(dropped)
	clear(o.dropped)
	o.reportedAt = now
	return dropped
}
