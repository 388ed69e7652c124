package storetest

import (
	"fmt"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// Kinds of faults.
const (
	Down      Kind = "down"       // Requests fail before they take effect.
	Slow      Kind = "slow"       // Requests take effect after DelayMS.
	ReplyLost Kind = "reply-lost" // Requests take effect, but the client gets no reply.
)

// Method restricts a fault to one kind of request.
type Method string

// Methods. The empty Method matches both.
const (
	Reads   Method = "read"
	Commits Method = "commit"
)

// Fault is a scripted fault. When Client is set, it affects only that client, so
// that Down, for example, simulates one client without a connection.
type Fault struct {
	Kind   Kind   `json:"kind"`
	Client string `json:"client,omitempty"`
	Method Method `json:"method,omitempty"`
	// DelayMS is the delay of Slow, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Skip is the number of matching requests before the fault starts.
	Skip int `json:"skip,omitempty"`
	// Count is the number of requests that the fault affects. 0 means all until
	// the faults are replaced.
	Count int `json:"count,omitempty"`

	matched int // Matching requests so far.
}

// Validate returns an error for an unknown kind or method or a negative number.
func (f Fault) Validate() error {
	switch f.Kind {
	case Down, Slow, ReplyLost:
	default:
		return fmt.Errorf("fault kind %q is not one of down, slow, reply-lost", f.Kind)
	}
	switch f.Method {
	case "", Reads, Commits:
	default:
		return fmt.Errorf("fault method %q is not one of read, commit", f.Method)
	}
	if f.DelayMS < 0 || f.Skip < 0 || f.Count < 0 {
		return fmt.Errorf("fault %s: delay_ms, skip and count must not be negative", f.Kind)
	}
	return nil
}

// SetFaults replaces all scripted faults. Without arguments it removes them.
func (t *Table) SetFaults(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = nil
	for _, f := range faults {
		t.faults = append(t.faults, &f)
	}
}

// Effect is the combined effect of the scripted faults on one request.
type Effect struct {
	Delay     time.Duration // Before the request takes effect.
	Down      bool          // The request fails without taking effect.
	ReplyLost bool          // The request takes effect, but the client gets no reply.
}

// NextEffect counts a request against the scripted faults and returns their
// effect on it.
func (t *Table) NextEffect(client string, method Method) Effect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var e Effect
	for _, f := range t.faults {
		if (f.Client != "" && f.Client != client) || (f.Method != "" && f.Method != method) {
			continue
		}
		f.matched++
		if f.matched <= f.Skip || (f.Count > 0 && f.matched > f.Skip+f.Count) {
			continue
		}
		switch f.Kind {
		case Down:
			e.Down = true
		case ReplyLost:
			e.ReplyLost = true
		case Slow:
			e.Delay += time.Duration(f.DelayMS) * time.Millisecond
		}
	}
	return e
}

// Faults returns a copy of the scripted faults.
func (t *Table) Faults() []Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	faults := make([]Fault, 0, len(t.faults))
	for _, f := range t.faults {
		faults = append(faults, *f)
	}
	return faults
}
