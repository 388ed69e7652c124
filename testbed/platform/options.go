package platform

import (
	"errors"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
)

// DefaultRebootTime is the duration of a reboot of the stand-in.
const DefaultRebootTime = 2 * time.Second

// Options configure the stand-in.
type Options struct {
	// Table holds the rows. Default: a new table.
	Table *storetest.Table
	// VMs is the VM list. All VMs are live at the start.
	VMs []fleet.VM
	// ListLag is the time until a change is visible in the VM list. Default 0.
	ListLag time.Duration
	// RebootTime is the duration of a reboot. Default 2 s.
	RebootTime time.Duration
	// OnReboot is called when a reboot starts (up false) and when it is done (up true).
	OnReboot func(vm fleet.VMID, up bool)
	// Now returns the current time. Default time.Now.
	Now func() time.Time
}

// Validate returns an error when a duration is negative.
func (o Options) Validate() error {
	if o.ListLag < 0 || o.RebootTime < 0 {
		return errors.New("platform options: a duration is negative")
	}
	return nil
}

func (o Options) withDefaults() Options {
	if o.Table == nil {
		o.Table = storetest.New()
	}
	if o.RebootTime == 0 {
		o.RebootTime = DefaultRebootTime
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Seed writes the pool and VM rows of a fleet into an empty table. It returns an error when
// the table has been seeded before.
func Seed(t *storetest.Table, s *fleet.Snapshot) error {
	var tx store.Transaction
	for id, pool := range s.Pools {
		w, err := store.Put(fleet.PoolKey(id), pool)
		if err != nil {
			return err
		}
		tx.Writes = append(tx.Writes, w)
	}
	for id, vm := range s.VMs {
		w, err := store.Put(fleet.VMKey(id), vm)
		if err != nil {
			return err
		}
		tx.Writes = append(tx.Writes, w)
	}
	tx.Operation = "seed"
	tx.Conditions = []store.Condition{{Key: store.OperationKey(tx.Operation)}}
	w, err := store.Put(store.OperationKey(tx.Operation), map[string]bool{"committed": true})
	if err != nil {
		return err
	}
	tx.Writes = append(tx.Writes, w)
	if !t.Apply(tx).Applied() {
		return errors.New("seed: the table has been seeded before")
	}
	return nil
}
