package store

import (
	"context"
	"encoding/json"
	"time"
)

// Version is a row's version or the table's revision. 0 means "does not exist".
type Version = uint64

// Row is a row of the table service. A deleted row is a tombstone.
type Row struct {
	Key     string          `json:"key"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted"`
}

// Condition requires that a row has a version. Version 0 requires that it does not exist.
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

// Priority orders writes that wait for the write budget.
type Priority uint8

// Priorities, the most urgent first.
const (
	PrioritySafety   Priority = iota // Evictions, leases, drains.
	PriorityOperator                 // Intents, confirmations, configurations.
	PriorityProgress                 // Progress of plans.
	priorities
)

// Transaction is a set of writes that are applied together when all conditions hold.
type Transaction struct {
	// Operation identifies the transaction. Empty: the client assigns one.
	Operation  string      `json:"operation"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
	Priority   Priority    `json:"-"`
}

// Outcome is the known outcome of a transaction.
type Outcome uint8

// Outcomes. An unknown outcome is reported as ErrOutcomeUnknown.
const (
	OutcomeApplied Outcome = iota + 1
	OutcomeRejected
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case OutcomeApplied:
		return "applied"
	case OutcomeRejected:
		return "rejected"
	}
	return "none"
}

// Result is the known outcome of a transaction.
type Result struct {
	Outcome Outcome
	// Revision of the commit, when applied.
	Revision Version
	// Failed are the conditions that did not hold, with the versions found, when rejected.
	Failed []Condition
	// Operation is the identity under which the transaction was committed.
	Operation string
}

// Applied reports whether the transaction took effect.
func (r Result) Applied() bool { return r.Outcome == OutcomeApplied }

// Snapshot holds the rows under a prefix that changed after a version.
type Snapshot struct {
	Revision Version
	Rows     []Row
	// AsOf is the local time at which the read was sent: the rows are at least this recent.
	AsOf time.Time
}

// Age returns the upper bound of the snapshot's age at now.
func (s Snapshot) Age(now time.Time) time.Duration { return now.Sub(s.AsOf) }

// Table is the table service as the rest of the system sees it.
type Table interface {
	// Read returns the rows under prefix that changed after since, with
	// tombstones of deleted ones. With since 0 it returns all live rows.
	Read(ctx context.Context, prefix string, since Version) (Snapshot, error)
	// Commit reports applied or rejected, or an error. When the error is
	// ErrOutcomeUnknown the transaction may have taken effect; after any other
	// error it has not and never will.
	Commit(ctx context.Context, tx Transaction) (Result, error)
}

// Transport carries single requests to the table service, without retries.
type Transport interface {
	// Rows reads rows. When etag is not empty and still current, Unchanged is set.
	Rows(ctx context.Context, prefix string, since Version, etag string) (Rows, error)
	// Commit sends tx once. An error that wraps ErrNotSent proves that nothing
	// was sent, one that wraps ErrInvalid that the service refused to execute
	// it; after any other error the outcome is unknown.
	Commit(ctx context.Context, tx Transaction) (Result, error)
	// Peer names the other side, for errors.
	Peer() string
}

// Rows is the answer to one read.
type Rows struct {
	Revision  Version
	Rows      []Row
	ETag      string
	Unchanged bool
}

// PrefixOperation is the prefix of operation rows.
const PrefixOperation = "op/"

// OperationKey returns the key of an operation row.
func OperationKey(operation string) string { return PrefixOperation + operation }

// Put returns a write of value as JSON.
func Put(key string, value any) (Write, error) {
	raw, err := json.Marshal(value)
	return Write{Key: key, Value: raw}, err
}

// Delete returns a write that deletes a row.
func Delete(key string) Write { return Write{Key: key, Delete: true} }
