package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/admin/client"
	"peridotcrank.dev/settings"
	"peridotcrank.dev/settings/jobs"
)

// Commands holds the commands that are implemented outside of this package.
type Commands struct {
	// Entry runs the entry process until it is stopped.
	Entry func(settings.Settings) error
	// Jobs runs the process for jobs on the users' platform until it is stopped.
	Jobs func(jobs.Settings) error
}

// Run runs the command given by args and returns the exit code. args does not
// contain the name of the program.
func Run(args []string, commands Commands) int {
	return run(args, commands, os.Stdout, os.Stderr)
}

func run(args []string, commands Commands, out, errOut io.Writer) int {
	a := &app{commands: commands, out: out, err: errOut}
	parser := newParser(a)
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(out, usage.Message)
		return ExitOK
	}
	if err != nil && !a.commandRan {
		err = &exitError{ExitInvalid, err}
	}
	if err != nil {
		a.printError(err)
	}
	return exitCode(err)
}

// app holds the state that all commands share.
type app struct {
	commands   Commands
	out, err   io.Writer
	options    options
	commandRan bool // The arguments were valid and the command was started.
}

type options struct {
	Server    string         `long:"server" env:"PERIDOTCRANK_SERVER" value-name:"URL" description:"Administration API of any entry process, such as https://10.0.0.1:8082"`
	TokenFile flags.Filename `long:"token-file" env:"PERIDOTCRANK_TOKEN_FILE" value-name:"FILE" description:"File with the operator's token"`
	CAFile    flags.Filename `long:"ca-file" env:"PERIDOTCRANK_CA_FILE" value-name:"FILE" description:"Certificate authority of the server, in PEM form (default: the system's)"`
	Output    outputFormat   `long:"output" default:"text" choice:"text" choice:"json" description:"Form of results and errors"`
}

// outputFormat is the format of results and errors, with shell completion.
type outputFormat string

const outputJSON outputFormat = "json"

// Complete implements [flags.Completer].
func (*outputFormat) Complete(prefix string) []flags.Completion {
	return completeChoices(prefix, "text", "json")
}

func completeChoices(prefix string, choices ...string) (items []flags.Completion) {
	for _, choice := range choices {
		if strings.HasPrefix(choice, prefix) {
			items = append(items, flags.Completion{Item: choice})
		}
	}
	return items
}

// client returns a client of the administration API for the options.
func (a *app) client() (*client.Client, error) {
	if a.options.Server == "" || a.options.TokenFile == "" {
		return nil, invalidf("--server and --token-file are required (or PERIDOTCRANK_SERVER and PERIDOTCRANK_TOKEN_FILE)")
	}
	token, err := os.ReadFile(string(a.options.TokenFile))
	if err != nil {
		return nil, invalidf("read token: %w", err)
	}
	c, err := client.New(client.Options{
		Server: a.options.Server,
		Token:  strings.TrimSpace(string(token)),
		CAFile: string(a.options.CAFile),
	})
	if err != nil {
		return nil, &exitError{ExitInvalid, err}
	}
	return c, nil
}

// queryAndShow reads a value from the administration API and prints it.
func queryAndShow[T any](a *app, read func(context.Context, *client.Client) (T, error), show func(*table, T)) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	value, err := read(context.Background(), c)
	if err != nil {
		return err
	}
	return a.print(value, func(t *table) { show(t, value) })
}

// changeOptions are the options of commands that make a change. The request id
// identifies the change, so that it can be repeated safely.
type changeOptions struct {
	RequestID string `long:"request-id" value-name:"ID" description:"Identity of the change; repeat it to repeat the change safely (default: a new one)"`
}

// applyChange makes a change and prints the result. If the outcome is unknown, the
// error contains the flags with which the command can be repeated: the request id
// and repeatFlags.
func applyChange[T any](a *app, options changeOptions, repeatFlags string, write func(context.Context, *client.Client, string) (T, error), show func(*table, T)) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	if options.RequestID == "" {
		options.RequestID = uuid.NewString()
	} else if !admin.ValidID(options.RequestID) {
		return invalidf("--request-id %q: want up to %d characters of A-Z, a-z, 0-9, '.', '_' and '-'", options.RequestID, admin.MaxIDBytes)
	}
	value, err := write(context.Background(), c, options.RequestID)
	var api *admin.Error
	if errors.As(err, &api) && api.Code == admin.CodeOutcomeUnknown {
		return fmt.Errorf("%w\nrepeat the command with --request-id %s%s", err, options.RequestID, repeatFlags)
	}
	if err != nil {
		return err
	}
	return a.print(value, func(t *table) { show(t, value) })
}
