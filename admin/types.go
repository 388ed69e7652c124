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
	Moving   int                 `json:"moving"`   // VMs in a phase other than serving.
	Slots    int                 `json:"slots"`    // Total worker slots of the routable VMs.
}

// VM is a VM with the fields that its stored row does not contain.
type VM struct {
	fleet.VM
	Version uint64 `json:"version"`
	Leaving bool   `json:"leaving"`
}

// Intent is an intent with the version of its stored row.
type Intent struct {
	fleet.Intent
	Version uint64 `json:"version"`
}

// Plan is a plan with the version of its stored row.
type Plan struct {
	fleet.Plan
	Version uint64 `json:"version"`
}

// Member is an entry process, with its state in the view of this process.
type Member struct {
	fleet.Member
	State MemberState `json:"state"`
	// SilenceMS is the time since the last message from the member, in
	// milliseconds; 0 for this process.
	SilenceMS int64 `json:"silence_ms"`
	// Self is true for the process that sends the reply.
	Self bool `json:"self"`
}

// MemberState is the liveness of a member in the view of this process.
type MemberState string

// States of a member.
const (
	MemberLive      MemberState = "live"
	MemberSuspected MemberState = "suspected"
)

// ConfigurationStatus describes the propagation of a configuration.
type ConfigurationStatus struct {
	// Version is the latest accepted version that this process knows.
	Version uint64 `json:"version"`
	// InForce reports that all live members have confirmed Version.
	InForce bool                  `json:"in_force"`
	Members []ConfigurationMember `json:"members"`
}

// ConfigurationMember describes the configuration of one member.
type ConfigurationMember struct {
	Member  fleet.MemberID `json:"member"`
	Version uint64         `json:"version"` // Last version that the member confirmed.
	Lag     uint64         `json:"lag"`     // Number of versions by which the member is behind.
	// LagMS is how long the member has been behind, in milliseconds.
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
	// Base is the version on which the operator based the change.
	Base     uint64          `json:"base"`
	Services []fleet.Service `json:"services"`
}

// Page is one page of a list.
type Page[T any] struct {
	Items []T `json:"items"`
	// Next is the value of the parameter "after" for the next page. It is empty on
	// the last page.
	Next string `json:"next,omitempty"`
}

// Timeline is one page of the timeline of a process.
type Timeline struct {
	Process fleet.MemberID   `json:"process"`
	Events  []eventlog.Event `json:"events"`
	// Next is the logical time after which the next page starts. It is empty when
	// there are no more events.
	Next string `json:"next,omitempty"`
}

// Limits of requests and pages.
const (
	MaxBodyBytes    = 1 << 20 // Request body.
	MaxPageSize     = 1000    // Items of a page.
	DefaultPageSize = 100     // Items of a page without "limit".
	MaxReasonBytes  = 1024    // Reason of a rejection or cancellation.
	MaxIDBytes      = 128     // Identifiers and the Request-Id.
	MaxTokenBytes   = 512     // Bearer token.
	MaxCapacity     = 100_000 // VMs of a pool.
	// MaxWatch is the maximum and the default wait of a request to watch a plan.
	MaxWatch = 30 * time.Second
)
