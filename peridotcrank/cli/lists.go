package cli

import (
	"context"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/admin/client"
	"peridotcrank.dev/fleet"
)

type poolListCommand struct{ app *app }

// Execute lists all pools.
func (c *poolListCommand) Execute([]string) error {
	return queryAndShow(c.app, func(ctx context.Context, api *client.Client) ([]admin.Pool, error) { return api.Pools(ctx) },
		func(t *table, pools []admin.Pool) {
			t.row("POOL", "VMS", "ROUTABLE", "MOVING", "SLOTS", "SERVICES")
			for _, p := range pools {
				names := make([]string, len(p.Services))
				for i, name := range p.Services {
					names[i] = string(name)
				}
				t.row(p.ID, p.VMs, p.Routable, p.Moving, p.Slots, orDash(strings.Join(names, ",")))
			}
		})
}

// vmPhase is a phase of a VM, with shell completion.
type vmPhase string

// Complete implements [flags.Completer].
func (*vmPhase) Complete(prefix string) []flags.Completion {
	return completeChoices(prefix, "serving", "draining", "drained", "moved", "rebooted", "probed")
}

type vmListCommand struct {
	app   *app
	Pool  string  `long:"pool" value-name:"POOL" description:"List only VMs of this pool"`
	Phase vmPhase `long:"phase" choice:"serving" choice:"draining" choice:"drained" choice:"moved" choice:"rebooted" choice:"probed" description:"List only VMs in this phase"`
	Rack  string  `long:"rack" value-name:"RACK" description:"List only VMs in this rack"`
	Zone  string  `long:"zone" value-name:"ZONE" description:"List only VMs in this availability zone"`
}

// Execute lists the VMs that match all filters.
func (c *vmListCommand) Execute([]string) error {
	filter := client.VMFilter{Pool: fleet.PoolID(c.Pool), Phase: fleet.Phase(c.Phase), Rack: fleet.RackID(c.Rack), Zone: fleet.ZoneID(c.Zone)}
	return queryAndShow(c.app, func(ctx context.Context, api *client.Client) ([]admin.VM, error) { return api.VMs(ctx, filter) },
		func(t *table, vms []admin.VM) {
			t.row("VM", "POOL", "PHASE", "LEAVING", "ZONE", "RACK", "ADDRESS", "GENERATION", "PLAN")
			for _, vm := range vms {
				t.row(vm.ID, vm.Pool, vm.Phase, yesOrDash(vm.Leaving), vm.Zone, vm.Rack, vm.Address, vm.Generation, orDash(vm.Plan))
			}
		})
}

type memberListCommand struct{ app *app }

// Execute lists the entry processes of the member view.
func (c *memberListCommand) Execute([]string) error {
	return queryAndShow(c.app, func(ctx context.Context, api *client.Client) ([]admin.Member, error) { return api.Members(ctx) },
		func(t *table, members []admin.Member) {
			t.row("MEMBER", "STATE", "SILENT", "ZONE", "PEERS", "ADMIN", "INCARNATION", "ASKED")
			for _, m := range members {
				t.row(m.ID, m.State, milliseconds(m.SilenceMS), m.Zone, m.PeerAddress, m.AdminAddress, m.Incarnation, yesOrDash(m.Self))
			}
		})
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
