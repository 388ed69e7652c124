// Package environment performs the acts of a plan driver outside the table service:
// drain queries, reboots and probes.
package environment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"peridotcrank.dev/control"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
	"peridotcrank.dev/peer/peerpb"
)

// Rebooter reboots VMs through the platform.
type Rebooter interface {
	Reboot(ctx context.Context, vm fleet.VMID, operation string) error
	RebootState(ctx context.Context, vm fleet.VMID, operation string) (fleet.RebootState, error)
}

const (
	probePath    = "/"
	probeTimeout = time.Second
)

// Environment implements plans.Environment.
type Environment struct {
	Rebooter
	controller *control.Controller
	client     *http.Client
}

// New returns an environment that sends drain queries to the members in a
// controller's view and reboots VMs through r.
func New(c *control.Controller, r Rebooter) *Environment {
	return &Environment{
		Rebooter: r, controller: c,
		client: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// QueryDrain implements plans.Environment.
func (e *Environment) QueryDrain(ctx context.Context, vm fleet.VMID, generation, revision uint64) (move.DrainEvidence, error) {
	state := e.controller.State()
	evidence := move.DrainEvidence{DepartedViewsExpired: state.DepartedViewsExpired}
	query := &peerpb.DrainQuery{Vm: string(vm), Generation: generation, FleetRevision: revision}
	var mu sync.Mutex
	var queries sync.WaitGroup
	for _, member := range state.Members.Members {
		queries.Go(func() {
			reply, err := e.controller.QueryDrain(ctx, member.ID, query)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				evidence.Missing = append(evidence.Missing, member.ID)
				return
			}
			evidence.Members = append(evidence.Members, move.MemberDrain{
				Member: member.ID, Revision: reply.GetFleetRevision(), InFlight: int(reply.GetInFlight()),
			})
		})
	}
	queries.Wait()
	// A member that joined during the query was not asked.
	if e.controller.State().Members.Version != state.Members.Version {
		return evidence, fmt.Errorf("query drain of VM %s: the member view changed", vm)
	}
	return evidence, nil
}

// Probe implements plans.Environment.
func (e *Environment) Probe(ctx context.Context, vm fleet.VM) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Address+probePath, nil)
	if err != nil {
		return fmt.Errorf("probe VM %s at %s: %w", vm.ID, vm.Address, err)
	}
	response, err := e.client.Do(request)
	if err != nil {
		return fmt.Errorf("probe VM %s at %s: %w", vm.ID, vm.Address, err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("probe VM %s at %s: status %d", vm.ID, vm.Address, response.StatusCode)
	}
	return nil
}
