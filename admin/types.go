package admin

import (
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
)

// Pool is a pool with the state of its VMs.
type Pool struct {
	ID       fleet.PoolID        `json:"id"`
	Version  uint64              `json:"version"`
	Services []fleet.ServiceName `json:"services"`
	VMs      int                 `json:"vms"`
	Routable int                 `json:"routable"` // VMs that accept new requests.
	Moving   int                 `json:"moving"`   // VMs in another phase than serving.
	Slots    int                 `json:"slots"`    // Worker slots of the routable VMs.
}

// VM is a VM with the parts that its row does not hold.
type VM struct {
	fleet.VM
	Version uint64 `json:"version"`
	Leaving bool   `json:"leaving"`
}

// Intent is an intent with the version of its row.
type Intent struct {
	fleet.Intent
	Version uint64 `json:"version"`
}

// Plan is a plan with the version of its row.
type Plan struct {
	fleet.Plan
	Version uint64 `json:"version"`
}

// Member is an entry process as this process sees it.
type Member struct {
	fleet.Member
	State MemberState `json:"state"`
	// Silence is the time since the member was last heard from, in
	// milliseconds; 0 for this process.
	SilenceMS int64 `json:"silence_ms"`
	// Self marks the process that answers.
	Self bool `json:"self"`
}

// MemberState is what this process thinks of a member.
type MemberState string

// States of a member.
const (
	MemberLive      MemberState = "live"
	MemberSuspected MemberState = "suspected"
)

// ConfigurationStatus says how far a configuration has spread.
type ConfigurationStatus struct {
	// Version is the newest accepted version that the process knows.
	Version uint64 `json:"version"`
	// InForce reports that all live members have confirmed Version.
	InForce bool                  `json:"in_force"`
	Members []ConfigurationMember `json:"members"`
}

// ConfigurationMember is the configuration at one member.
type ConfigurationMember struct {
	Member  fleet.MemberID `json:"member"`
	Version uint64         `json:"version"` // Last version that the member confirmed.
	Lag     uint64         `json:"lag"`     // Versions behind.
	// LagMS is the time for which the member has been behind, in milliseconds.
	LagMS int64 `json:"lag_ms"`
}

// IntentRequest is the body of a request to create an intent.
type IntentRequest struct {
	Kind     fleet.IntentKind `json:"kind"`
	Pool     fleet.PoolID     `json:"pool,omitempty"`
	Capacity *int             `json:"capacity,omitempty"`
	Rack     fleet.RackID     `json:"rack,omitempty"`
	Service  *fleet.Service   `json:"service,omitempty"`
}

// PlanRequest is the body of a request to create a plan.
type PlanRequest struct {
	Intent fleet.IntentID `json:"intent"`
}

// ReasonRequest is the body of a request to reject or cancel a plan.
type ReasonRequest struct {
	Reason string `json:"reason,omitempty"`
}

// ConfigurationRequest is the body of a request to set the configuration.
type ConfigurationRequest struct {
	// Base is the version that the operator has seen.
	Base     uint64          `json:"base"`
	Services []fleet.Service `json:"services"`
}

// Page is one page of a list.
type Page[T any] struct {
	Items []T `json:"items"`
	// Next is the value of the parameter "after" for the next page, empty on the last one.
	Next string `json:"next,omitempty"`
}

// Timeline is a part of the timeline of one process.
type Timeline struct {
	Process fleet.MemberID   `json:"process"`
	Events  []eventlog.Event `json:"events"`
	// Next is the logical time after which the next part begins, empty when
	// there were no more events.
	Next string `json:"next,omitempty"`
}

// Limits of requests.
const (
	MaxBodyBytes   = 1 << 20 // Request body.
	MaxPageSize    = 1000    // Items of a page.
	DefaultPage    = 100     // Items of a page without "limit".
	MaxReasonBytes = 1024    // Reason of a rejection or cancellation.
	MaxIDBytes     = 128     // Identifiers and the Request-Id.
	MaxTokenBytes  = 512     // Bearer token.
	MaxCapacity    = 100_000 // VMs of a pool.
	// MaxWatch bounds one request to watch a plan; the default is the same.
	MaxWatch = 30 * time.Second
)
