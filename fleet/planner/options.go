package planner

import (
	"errors"
	"fmt"

	"peridotcrank.dev/fleet"
)

// Defaults of Options.
const (
	// DefaultWidth is the maximum number of VMs that a plan moves at once.
	DefaultWidth = 8
	// DefaultRackWidth covers a whole rack of four workers.
	DefaultRackWidth = 4
	// DefaultZoneWidth limits the VMs moved at once in one availability zone.
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

// Validate returns an error if a number is negative or a share is above 1.
func (o Options) Validate() error {
	if min(o.Width, o.RackWidth, o.ZoneWidth, o.SpareReserve) < 0 {
		return errors.New("planner options: a width or the spare reserve is negative")
	}
	if min(o.RackShare, o.ZoneShare) < 0 || max(o.RackShare, o.ZoneShare) > 1 {
		return errors.New("planner options: the rack share or the zone share is not between 0 and 1")
	}
	return nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.Width, DefaultWidth)
	setDefault(&o.RackWidth, DefaultRackWidth)
	setDefault(&o.ZoneWidth, DefaultZoneWidth)
	setDefault(&o.RackShare, DefaultRackShare)
	setDefault(&o.ZoneShare, DefaultZoneShare)
	setDefault(&o.SpareReserve, DefaultSpareReserve)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// UnmetError is returned for an intent that cannot be met. Reason says why.
type UnmetError struct {
	Intent fleet.IntentID
	Reason string
}

// Error implements error.
func (e *UnmetError) Error() string {
	return fmt.Sprintf("intent %s cannot be met: %s", e.Intent, e.Reason)
}
