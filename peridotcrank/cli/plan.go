package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/admin/client"
	"peridotcrank.dev/fleet"
)

type planArgument struct {
	Plan string `positional-arg-name:"PLAN"`
}

type planCreateCommand struct {
	app *app
	changeOptions
	Args struct {
		Intent string `positional-arg-name:"INTENT"`
	} `positional-args:"yes" required:"yes"`
}

// Execute computes a new plan for an intent and shows it.
func (c *planCreateCommand) Execute([]string) error {
	return applyChange(c.app, c.changeOptions, "", func(ctx context.Context, api *client.Client, id string) (admin.Plan, error) {
		return api.CreatePlan(ctx, id, fleet.IntentID(c.Args.Intent))
	}, showPlan)
}

type planShowCommand struct {
	app  *app
	Args planArgument `positional-args:"yes" required:"yes"`
}

// Execute shows a plan with its moves.
func (c *planShowCommand) Execute([]string) error {
	return queryAndShow(c.app, func(ctx context.Context, api *client.Client) (admin.Plan, error) {
		return api.Plan(ctx, fleet.PlanID(c.Args.Plan))
	}, showPlan)
}

type planConfirmCommand struct {
	app *app
	changeOptions
	Args planArgument `positional-args:"yes" required:"yes"`
}

// Execute confirms a plan.
func (c *planConfirmCommand) Execute([]string) error {
	return applyChange(c.app, c.changeOptions, "", func(ctx context.Context, api *client.Client, id string) (admin.Plan, error) {
		return api.ConfirmPlan(ctx, id, fleet.PlanID(c.Args.Plan))
	}, showPlanLine)
}

type reason struct {
	Reason string `long:"reason" value-name:"TEXT" description:"Reason that the plan records"`
}

type planRejectCommand struct {
	app *app
	changeOptions
	reason
	Args planArgument `positional-args:"yes" required:"yes"`
}

// Execute rejects a plan.
func (c *planRejectCommand) Execute([]string) error {
	return applyChange(c.app, c.changeOptions, "", func(ctx context.Context, api *client.Client, id string) (admin.Plan, error) {
		return api.RejectPlan(ctx, id, fleet.PlanID(c.Args.Plan), c.Reason)
	}, showPlanLine)
}

type planCancelCommand struct {
	app *app
	changeOptions
	reason
	Args planArgument `positional-args:"yes" required:"yes"`
}

// Execute cancels a plan.
func (c *planCancelCommand) Execute([]string) error {
	return applyChange(c.app, c.changeOptions, "", func(ctx context.Context, api *client.Client, id string) (admin.Plan, error) {
		return api.CancelPlan(ctx, id, fleet.PlanID(c.Args.Plan), c.Reason)
	}, showPlanLine)
}

// planState is a state of a plan, with shell completion.
type planState string

// Complete implements [flags.Completer].
func (*planState) Complete(prefix string) []flags.Completion {
	return completeChoices(prefix, "proposed", "confirmed", "rejected", "cancelled", "done", "blocked")
}

type planListCommand struct {
	app   *app
	State planState `long:"state" choice:"proposed" choice:"confirmed" choice:"rejected" choice:"cancelled" choice:"done" choice:"blocked" description:"List only plans in this state"`
}

// Execute lists the plans, optionally only those in one state.
func (c *planListCommand) Execute([]string) error {
	return queryAndShow(c.app, func(ctx context.Context, api *client.Client) ([]admin.Plan, error) {
		return api.Plans(ctx, fleet.PlanState(c.State))
	}, func(t *table, plans []admin.Plan) {
		t.row("PLAN", "STATE", "MOVES", "DRIVER", "INTENT", "WANTED")
		for _, p := range plans {
			t.row(p.ID, p.State, moveProgress(p), orDash(p.Driver), p.Intent.ID, describeIntent(p.Intent))
		}
	})
}

type planWatchCommand struct {
	app  *app
	Args planArgument `positional-args:"yes" required:"yes"`
}

// Execute shows each change of a plan until the plan ends or needs an operator.
// It returns an error with ExitIncomplete unless the plan is done.
func (c *planWatchCommand) Execute([]string) error {
	api, err := c.app.client()
	if err != nil {
		return err
	}
	shown := uint64(0)
	for {
		plan, err := api.WatchPlan(context.Background(), fleet.PlanID(c.Args.Plan), shown, admin.MaxWatch)
		if err != nil {
			return err
		}
		if plan.Version <= shown {
			continue
		}
		shown = plan.Version
		if err := c.app.printItem(plan, func(t *table) { showPlanLine(t, plan) }); err != nil {
			return err
		}
		switch plan.State {
		case fleet.PlanDone:
			return nil
		case fleet.PlanRejected, fleet.PlanCancelled, fleet.PlanBlocked:
			return incompletef("plan %s is %s", plan.ID, plan.State)
		}
	}
}

func showPlanLine(t *table, p admin.Plan) {
	line := fmt.Sprintf("plan %s: %s, %s moves done", p.ID, p.State, moveProgress(p))
	if p.Driver != "" {
		line += fmt.Sprintf(", driven by %s", p.Driver)
	}
	if p.Reason != "" {
		line += ": " + quoteUnprintable(p.Reason)
	}
	t.line(line)
}

func showPlan(t *table, p admin.Plan) {
	t.row("Plan", p.ID)
	t.row("State", p.State)
	t.row("Intent", p.Intent.ID, describeIntent(p.Intent))
	t.row("Moves", moveProgress(p)+" done", fmt.Sprintf("%d at once", p.Width))
	if p.Driver != "" {
		t.row("Driver", p.Driver)
	}
	if p.Reason != "" {
		t.row("Reason", p.Reason)
	}
	for _, warning := range p.Warnings {
		t.row("Warning", warning)
	}
	if len(p.Moves) > 0 {
		t.line("")
		t.row("VM", "FROM", "TO", "REBOOT", "DONE", "REASON")
	}
	for _, m := range p.Moves {
		t.row(m.VM, m.From, m.To, yesOrDash(m.Reboot), yesOrDash(m.Done), m.Reason)
	}
}

func moveProgress(p admin.Plan) string {
	done := 0
	for _, m := range p.Moves {
		if m.Done {
			done++
		}
	}
	return fmt.Sprintf("%d/%d", done, len(p.Moves))
}

// describeIntent returns the goal of an intent as one line of text.
func describeIntent(i fleet.Intent) string {
	switch {
	case i.Kind == fleet.IntentPoolCapacity:
		return fmt.Sprintf("pool %s holds %d VMs", i.Pool, i.Capacity)
	case i.Kind == fleet.IntentEmptyRack:
		return fmt.Sprintf("rack %s is empty", i.Rack)
	case i.Kind == fleet.IntentConfigure && i.Service != nil:
		return fmt.Sprintf("service %s is configured", i.Service.Name)
	}
	return strings.TrimSpace(string(i.Kind))
}
