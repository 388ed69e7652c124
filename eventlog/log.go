package eventlog

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Format is the format of log lines.
type Format string

// Formats of log lines.
const (
	FormatJSON Format = "json"
	FormatText Format = "text"
)

// DefaultCapacity is the default number of events in the ring buffer.
const DefaultCapacity = 4096

// Options configure a [Log].
type Options struct {
	// Process is the member id that is recorded with each event. Required.
	Process string
	// Writer receives the log lines. Required; io.Discard drops them.
	Writer io.Writer
	// Format of the log lines. Default FormatJSON.
	Format Format
	// MinLevel is the lowest level that is written as log lines; the timeline keeps all
	// events. Default LevelInfo.
	MinLevel Level
	// Capacity is the number of events kept in memory. Default DefaultCapacity.
	Capacity int
	// LinesPerSecond limits the log lines of each event code; a separate line reports how
	// many were left out. The timeline keeps all events. Default 0, which means no limit.
	LinesPerSecond int
	// Clock provides the timestamps of events and of messages to peers. Default NewClock(nil).
	Clock *Clock
}

// Validate returns an error that lists all invalid options.
func (o Options) Validate() error {
	var faults []error
	if o.Process == "" {
		faults = append(faults, errors.New("eventlog: process is empty"))
	}
	if o.Writer == nil {
		faults = append(faults, errors.New("eventlog: no writer"))
	}
	if o.Format != "" && o.Format != FormatJSON && o.Format != FormatText {
		faults = append(faults, fmt.Errorf("eventlog: format %q: want json or text", o.Format))
	}
	if o.Capacity < 0 {
		faults = append(faults, fmt.Errorf("eventlog: capacity %d is negative", o.Capacity))
	}
	if o.LinesPerSecond < 0 {
		faults = append(faults, fmt.Errorf("eventlog: %d lines per second is negative", o.LinesPerSecond))
	}
	return errors.Join(faults...)
}

// Log is the [Recorder] of a process.
type Log struct {
	process  string
	minLevel Level
	clock    *Clock
	output   *output

	mu       sync.Mutex // Guards the fields below and the order of timestamps.
	sequence uint64
	ring     *ring
	limiter  *limiter
}

var _ Recorder = (*Log)(nil)

// New returns a log. It returns an error if the options are not valid.
func New(o Options) (*Log, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	if o.Capacity == 0 {
		o.Capacity = DefaultCapacity
	}
	if o.Clock == nil {
		o.Clock = NewClock(nil)
	}
	return &Log{
		process:  o.Process,
		minLevel: o.MinLevel,
		clock:    o.Clock,
		output:   newOutput(o.Writer, o.Format),
		ring:     newRing(o.Capacity),
		limiter:  newLimiter(o.LinesPerSecond),
	}, nil
}

// Clock returns the clock that provides the timestamps of events. Messages to
// peers carry its time, and it observes the timestamps of messages from peers.
func (l *Log) Clock() *Clock { return l.clock }

// Record adds an event to the timeline and writes it as a log line, unless its
// level or its line rate excludes it.
func (l *Log) Record(code Code, fields Fields) {
	at, limited := l.record(code, fields)
	for _, suppressed := range limited {
		l.record(LogLinesLimited, Fields{"event": eventName(suppressed.code), "lines": suppressed.lines})
	}
	for _, dropped := range l.output.takeDropped(at) {
		l.record(LogLinesDropped, Fields{"event": eventName(dropped.code), "lines": dropped.lines})
	}
}

// record returns the time of the event, and the counts of suppressed lines that have to
// be reported now.
func (l *Log) record(code Code, fields Fields) (time.Time, []suppressedLines) {
	definition, _ := Lookup(code)
	event := Event{
		Process: l.process,
		Code:    code,
		Name:    definition.Name,
		Level:   definition.Level,
		Fields:  freeze(fields),
	}
	l.mu.Lock()
	l.sequence++
	event.Sequence, event.Time = l.sequence, l.clock.Now()
	l.ring.add(event)
	physical, _ := Unpack(event.Time)
	permitted, suppressed := l.limiter.permit(code, physical)
	rare := l.limiter.isRare(code)
	l.mu.Unlock()
	if permitted && event.Level >= l.minLevel {
		l.write(event, definition.Meaning, rare)
	}
	return physical, suppressed
}

func eventName(code Code) string {
	definition, _ := Lookup(code)
	return definition.Name
}

// Timeline returns at most limit events that were recorded after a timestamp,
// oldest first.
func (l *Log) Timeline(after uint64, limit int) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ring.eventsAfter(after, max(limit, 0))
}

// Recorded returns the number of events recorded since the start.
func (l *Log) Recorded() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequence
}

func (l *Log) write(e Event, meaning string, rare bool) {
	fields := logrus.Fields{
		"code": uint16(e.Code), "event": e.Name, "process": e.Process,
		"sequence": e.Sequence, "logical_time": strconv.FormatUint(e.Time, 10),
	}
	for key, value := range e.Fields {
		fields["field."+key] = value
	}
	physical, _ := Unpack(e.Time)
	entry := l.output.logger.WithFields(fields).WithTime(physical)
	entry.Level, entry.Message = logrusLevel(e.Level), meaning
	l.output.write(e.Code, entry, rare)
}

func logrusLevel(l Level) logrus.Level {
	switch l {
	case LevelInfo:
		return logrus.InfoLevel
	case LevelWarning:
		return logrus.WarnLevel
	}
	return logrus.ErrorLevel
}

// Discard is a [Recorder] that ignores all events.
var Discard Recorder = discard{}

type discard struct{}

func (discard) Record(Code, Fields) {}
