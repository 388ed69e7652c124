package planner

import (
	"errors"
	"fmt"

	"peridotcrank.dev/fleet"
)

// Defaults of Options.
const (
	// DefaultWidth is the number of VMs that a plan moves at once.
	DefaultWidth = 8
	// DefaultRackWidth covers a whole rack of four workers.
	DefaultRackWidth = 4
	// DefaultZoneWidth bounds the VMs moved at once in one availability zone.
	DefaultZoneWidth = 4
	// DefaultRackShare is the share of a pool in one rack above which a plan warns.
	DefaultRackShare = 0.25
	// DefaultZoneShare is the share of a pool in one availability zone above which a plan warns.
	DefaultZoneShare = 0.5
	// DefaultSpareReserve is the number of spare VMs below which a plan warns.
	DefaultSpareReserve = 1
)

// Options configure the planner. Zero fields take their defaults.
type Options struct {
	Width, RackWidth, ZoneWidth int
	RackShare, ZoneShare        float64
	SpareReserve                int
}

// Validate reports negative numbers and shares above 1.
func (o Options) Validate() error {
	if min(o.Width, o.RackWidth, o.ZoneWidth, o.SpareReserve) < 0 {
		return errors.New("planner options: a number is negative")
	}
	if min(o.RackShare, o.ZoneShare) < 0 || max(o.RackShare, o.ZoneShare) > 1 {
		return errors.New("planner options: a share is not between 0 and 1")
	}
	return nil
}

func (o Options) withDefaults() Options {
	def(&o.Width, DefaultWidth)
	def(&o.RackWidth, DefaultRackWidth)
	def(&o.ZoneWidth, DefaultZoneWidth)
	def(&o.RackShare, DefaultRackShare)
	def(&o.ZoneShare, DefaultZoneShare)
	def(&o.SpareReserve, DefaultSpareReserve)
	return o
}

func def[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// UnmetError says why an intent cannot be met.
type UnmetError struct {
	Intent fleet.IntentID
	Reason string
}

// Error implements error.
func (e *UnmetError) Error() string {
	return fmt.Sprintf("intent %s cannot be met: %s", e.Intent, e.Reason)
}
