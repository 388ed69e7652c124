package cli

import (
	"context"
	"fmt"

	"github.com/jessevdk/go-flags"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/admin/client"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/settings"
)

type configSetCommand struct {
	app *app
	changeOptions
	Base *uint64 `long:"base" value-name:"VERSION" description:"Version that the file was made from; refused when it is not the current one (default: the version in force at the called process)"`
	Args struct {
		File flags.Filename `positional-arg-name:"FILE" description:"YAML file with all services"`
	} `positional-args:"yes" required:"yes"`
}

// Execute sets the services of the configuration from a file.
func (c *configSetCommand) Execute([]string) error {
	services, err := settings.LoadServices(string(c.Args.File))
	if err != nil {
		return &exitError{ExitInvalid, err}
	}
	// The base version is part of the request, so a repeated request needs the same base.
	if c.RequestID != "" && c.Base == nil {
		return invalidf("--request-id needs --base, so that the repeated request is the same")
	}
	base, err := c.baseVersion()
	if err != nil {
		return err
	}
	return applyChange(c.app, c.changeOptions, fmt.Sprintf(" --base %d", base), func(ctx context.Context, api *client.Client, id string) (fleet.Configuration, error) {
		return api.SetConfiguration(ctx, id, base, services)
	}, func(t *table, configuration fleet.Configuration) {
		t.line(fmt.Sprintf("configuration version %d is accepted; see config status for when it is in force", configuration.Version))
	})
}

func (c *configSetCommand) baseVersion() (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	api, err := c.app.client()
	if err != nil {
		return 0, err
	}
	current, err := api.Configuration(context.Background())
	return current.Version, err
}

type configGetCommand struct{ app *app }

// Execute shows the configuration in force at the called process.
func (c *configGetCommand) Execute([]string) error {
	return queryAndShow(c.app, func(ctx context.Context, api *client.Client) (fleet.Configuration, error) {
		return api.Configuration(ctx)
	},
		func(t *table, configuration fleet.Configuration) {
			t.line(fmt.Sprintf("version %d", configuration.Version))
			t.line("")
			t.row("SERVICE", "PREFIX", "POOL", "TIMEOUT", "BODY", "QUEUE", "URGENCY", "TARGET")
			for _, s := range configuration.Services {
				t.row(s.Name, s.PathPrefix, s.Pool, s.Timeout, settings.FormatBytes(s.MaxBodyBytes), s.MaxQueue, s.Urgency, s.AvailabilityTarget)
			}
		})
}

type configStatusCommand struct {
	app            *app
	RequireInForce bool `long:"require-in-force" description:"End with exit code 8 unless the version is in force"`
}

// Execute shows which configuration version each member has.
func (c *configStatusCommand) Execute([]string) error {
	var inForce bool
	err := queryAndShow(c.app, func(ctx context.Context, api *client.Client) (admin.ConfigurationStatus, error) {
		status, err := api.ConfigurationStatus(ctx)
		inForce = status.InForce
		return status, err
	}, showStatus)
	if err == nil && c.RequireInForce && !inForce {
		return incompletef("the configuration is not in force")
	}
	return err
}

func showStatus(t *table, status admin.ConfigurationStatus) {
	state := "not in force"
	if status.InForce {
		state = "in force"
	}
	t.line(fmt.Sprintf("version %d: %s", status.Version, state))
	t.line("")
	t.row("MEMBER", "VERSION", "LAG", "BEHIND FOR")
	for _, m := range status.Members {
		t.row(m.Member, m.Version, m.Lag, milliseconds(m.LagMS))
	}
}
