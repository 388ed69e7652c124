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

// Format is the form of log lines.
type Format string

// Forms of log lines.
const (
	FormatJSON Format = "json"
	FormatText Format = "text"
)

// DefaultCapacity is the default number of events in the ring buffer.
const DefaultCapacity = 4096

// Options configure a [Log].
type Options struct {
	// Process is the member id that the events carry. Required.
	Process string
	// Writer receives the log lines. Required; io.Discard for none.
	Writer io.Writer
	// Format of the log lines. Default FormatJSON.
	Format Format
	// MinLevel is the lowest level that is written; the timeline keeps all. Default LevelInfo.
	MinLevel Level
	// Capacity is the number of events kept in memory. Default DefaultCapacity.
	Capacity int
	// LinesPerSecond bounds the lines of each event; what is left out is counted
	// in a line of its own. The timeline keeps all events. Default 0, without bound.
	LinesPerSecond int
	// Clock stamps the events; peers share it. Default NewClock(nil).
	Clock *Clock
}

// Validate reports options that cannot be used.
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
	logger   *logrus.Logger

	mu       sync.Mutex // Guards the fields below and the order of timestamps.
	sequence uint64
	ring     *ring
	limiter  *limiter
}

var _ Recorder = (*Log)(nil)

// New returns a log.
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
		logger:   newLogger(o.Writer, o.Format),
		ring:     newRing(o.Capacity),
		limiter:  newLimiter(o.LinesPerSecond),
	}, nil
}

// Clock returns the clock that stamps the events. Messages to peers carry its
// time, and messages from peers are observed by it.
func (l *Log) Clock() *Clock { return l.clock }

// Record keeps an event in the timeline and writes it as a log line.
func (l *Log) Record(code Code, fields Fields) {
	for _, left := range l.record(code, fields) {
		l.record(LogLinesLimited, Fields{"event": nameOf(left.code), "lines": left.lines})
	}
}

// record returns the lines that were left out before this event.
func (l *Log) record(code Code, fields Fields) []leftOut {
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
	permitted, left := l.limiter.permit(code, physical)
	l.mu.Unlock()
	if permitted && event.Level >= l.minLevel {
		l.write(event, definition.Meaning)
	}
	return left
}

func nameOf(code Code) string {
	definition, _ := Lookup(code)
	return definition.Name
}

// Timeline returns the events recorded after a timestamp, oldest first, at
// most limit of them.
func (l *Log) Timeline(after uint64, limit int) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ring.since(after, max(limit, 0))
}

// Recorded returns the number of events recorded since the start.
func (l *Log) Recorded() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequence
}

func (l *Log) write(e Event, meaning string) {
	fields := logrus.Fields{
		"code": uint16(e.Code), "event": e.Name, "process": e.Process,
		"sequence": e.Sequence, "logical_time": strconv.FormatUint(e.Time, 10),
	}
	for key, value := range e.Fields {
		fields["field."+key] = value
	}
	physical, _ := Unpack(e.Time)
	l.logger.WithFields(fields).WithTime(physical).Log(logrusLevel(e.Level), meaning)
}

func newLogger(w io.Writer, f Format) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(logrus.InfoLevel)
	if f == FormatText {
		logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	} else {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	return logger
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

// Discard is a [Recorder] that drops all events.
var Discard Recorder = discard{}

type discard struct{}

func (discard) Record(Code, Fields) {}
