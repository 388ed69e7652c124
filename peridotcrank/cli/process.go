package cli

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"peridotcrank.dev/settings"
	"peridotcrank.dev/settings/jobs"
)

type settingsFile struct {
	Settings flags.Filename `long:"settings" required:"yes" value-name:"FILE" description:"YAML settings of the entry process"`
}

func (f settingsFile) load() (settings.Settings, error) {
	s, err := settings.Load(string(f.Settings))
	if err != nil {
		return s, &exitError{ExitInvalid, err}
	}
	return s, nil
}

type entryCommand struct {
	app *app
	settingsFile
}

// Execute runs the entry process until it is stopped.
func (c *entryCommand) Execute([]string) error {
	if c.app.commands.Entry == nil {
		return errors.New("this program was built without the entry process")
	}
	s, err := c.load()
	if err != nil {
		return err
	}
	return c.app.commands.Entry(s)
}

type jobsCommand struct {
	app      *app
	Settings flags.Filename `long:"settings" env:"PERIDOTCRANK_BOOT" required:"yes" value-name:"FILE" description:"YAML settings of the process"`
}

// Execute runs the process for jobs on the users' platform until it is stopped.
func (c *jobsCommand) Execute([]string) error {
	if c.app.commands.Jobs == nil {
		return errors.New("this program was built without the process for jobs")
	}
	s, err := jobs.Load(string(c.Settings))
	if err != nil {
		return &exitError{ExitInvalid, err}
	}
	return c.app.commands.Jobs(s)
}

type checkCommand struct {
	app *app
	settingsFile
}

// Execute checks the settings file of an entry process.
func (c *checkCommand) Execute([]string) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	result := struct {
		File   string `json:"file"`
		Member string `json:"member"`
		Valid  bool   `json:"valid"`
	}{string(c.Settings), string(s.Member), true}
	return c.app.print(result, func(t *table) {
		t.line(fmt.Sprintf("%s: valid settings of member %s", result.File, result.Member))
	})
}
