package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/jessevdk/go-flags"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/admin/client"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/settings"
)

func (a *app) createIntent(options changeOptions, request admin.IntentRequest) error {
	return applyChange(a, options, "", func(ctx context.Context, c *client.Client, id string) (admin.Plan, error) {
		return c.CreateIntent(ctx, id, request)
	}, showPlan)
}

// vmCount is a number of VMs given as an argument.
type vmCount int

// UnmarshalFlag implements [flags.Unmarshaler].
func (n *vmCount) UnmarshalFlag(text string) error {
	value, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("VMS: %q is not a whole number", text)
	}
	*n = vmCount(value)
	return nil
}

type poolCapacityCommand struct {
	app *app
	changeOptions
	Args struct {
		Pool     string  `positional-arg-name:"POOL"`
		Capacity vmCount `positional-arg-name:"VMS"`
	} `positional-args:"yes" required:"yes"`
}

// Execute creates the intent.
func (c *poolCapacityCommand) Execute([]string) error {
	capacity := int(c.Args.Capacity)
	return c.app.createIntent(c.changeOptions, admin.IntentRequest{Kind: fleet.IntentPoolCapacity, Pool: fleet.PoolID(c.Args.Pool), Capacity: &capacity})
}

type emptyRackCommand struct {
	app *app
	changeOptions
	Args struct {
		Rack string `positional-arg-name:"RACK"`
	} `positional-args:"yes" required:"yes"`
}

// Execute creates the intent.
func (c *emptyRackCommand) Execute([]string) error {
	return c.app.createIntent(c.changeOptions, admin.IntentRequest{Kind: fleet.IntentEmptyRack, Rack: fleet.RackID(c.Args.Rack)})
}

type configureCommand struct {
	app *app
	changeOptions
	Args struct {
		File flags.Filename `positional-arg-name:"FILE" description:"YAML file with one service"`
	} `positional-args:"yes" required:"yes"`
}

// Execute creates the intent.
func (c *configureCommand) Execute([]string) error {
	services, err := settings.LoadServices(string(c.Args.File))
	if err != nil {
		return &exitError{ExitInvalid, err}
	}
	if len(services) != 1 {
		return invalidf("%s: found %d services; accepted: exactly one", c.Args.File, len(services))
	}
	return c.app.createIntent(c.changeOptions, admin.IntentRequest{Kind: fleet.IntentConfigure, Service: &services[0]})
}

type intentListCommand struct{ app *app }

// Execute lists all intents.
func (c *intentListCommand) Execute([]string) error {
	return queryAndShow(c.app, func(ctx context.Context, api *client.Client) ([]admin.Intent, error) { return api.Intents(ctx) }, showIntents)
}

func showIntents(t *table, intents []admin.Intent) {
	t.row("INTENT", "KIND", "OPERATOR", "WANTED")
	for _, i := range intents {
		t.row(i.ID, i.Kind, i.Operator, describeIntent(i.Intent))
	}
}
