package store

import (
	"context"
	"encoding/json"
	"time"
)

// Version is the version of a row or the revision of the table. Version 0 of a
// row means that it does not exist.
type Version = uint64

// Row is a row of the table service. A deleted row is a tombstone.
type Row struct {
	Key     string          `json:"key"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted"`
}

// Condition requires a row to have the given version. Version 0 requires that
// the row does not exist.
type Condition struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Write replaces or deletes a row.
type Write struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete"`
}

// Priority orders the writes that wait for the write budget. Lower values are
// granted first.
type Priority uint8

// Priorities, from the most to the least urgent.
const (
	PrioritySafety   Priority = iota // Evictions, leases, drains.
	PriorityOperator                 // Intents, confirmations, configurations.
	PriorityProgress                 // Progress of plans.
	priorityCount
)

// Transaction is a set of writes that are applied together when all conditions hold.
type Transaction struct {
	// Operation identifies the transaction. The client assigns one when it is empty.
	Operation  string      `json:"operation"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
	Priority   Priority    `json:"-"`
}

// Outcome tells whether a transaction took effect.
type Outcome uint8

// Known outcomes. An unknown outcome is reported as ErrOutcomeUnknown.
const (
	OutcomeApplied Outcome = iota + 1
	OutcomeRejected
)

// String returns the name of the outcome, "none" for the zero value.
func (o Outcome) String() string {
	switch o {
	case OutcomeApplied:
		return "applied"
	case OutcomeRejected:
		return "rejected"
	}
	return "none"
}

// Result is the outcome of a transaction, with its details.
type Result struct {
	Outcome Outcome
	// Revision is the table's revision after the commit, when applied.
	Revision Version
	// Failed lists the conditions that did not hold, each with the actual version
	// of its row, when rejected.
	Failed []Condition
	// Operation is the identity under which the transaction was sent.
	Operation string
}

// Applied reports whether the transaction took effect.
func (r Result) Applied() bool { return r.Outcome == OutcomeApplied }

// Snapshot holds the rows under a prefix that changed after a version.
type Snapshot struct {
	Revision Version
	Rows     []Row
	// AsOf is the local time at which the read was sent. The rows are at least
	// this recent.
	AsOf time.Time
}

// Age returns an upper bound of the snapshot's age at the time now.
func (s Snapshot) Age(now time.Time) time.Duration { return now.Sub(s.AsOf) }

// Table is the interface of the table service that other packages use.
type Table interface {
	// Read returns the rows under prefix that changed after since, including
	// tombstones of deleted rows. With since 0 it returns all existing rows.
	Read(ctx context.Context, prefix string, since Version) (Snapshot, error)
	// Commit applies tx when all its conditions hold, and returns whether it was
	// applied or rejected. After an error that wraps ErrOutcomeUnknown the
	// transaction may have taken effect or may still do so; after any other
	// error it has not and never will.
	Commit(ctx context.Context, tx Transaction) (Result, error)
}

// Transport sends single requests to the table service, without retries.
type Transport interface {
	// ReadRows returns the rows under prefix that changed after since. It sets
	// Unchanged when etag is not empty and is still the entity tag of these rows.
	ReadRows(ctx context.Context, prefix string, since Version, etag string) (ReadResult, error)
	// Commit sends tx once. An error that wraps ErrNotSent proves that nothing
	// was sent. An error that wraps ErrInvalid proves that tx was not executed.
	// After any other error the outcome is unknown.
	Commit(ctx context.Context, tx Transaction) (Result, error)
	// Peer returns the address of the service, for error messages.
	Peer() string
}

// ReadResult is the response to one read. Unchanged means that the rows are
// those of the earlier read that returned the same entity tag.
type ReadResult struct {
	Revision  Version
	Rows      []Row
	ETag      string
	Unchanged bool
}

// PrefixOperation is the key prefix of operation rows.
const PrefixOperation = "op/"

// OperationKey returns the key of an operation row.
func OperationKey(operation string) string { return PrefixOperation + operation }

// Put returns a write that stores value as JSON under key. It returns an error
// when value cannot be encoded.
func Put(key string, value any) (Write, error) {
	raw, err := json.Marshal(value)
	return Write{Key: key, Value: raw}, err
}

// Delete returns a write that deletes the row of key.
func Delete(key string) Write { return Write{Key: key, Delete: true} }
