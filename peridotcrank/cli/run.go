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

// Commands are implemented outside of this package.
type Commands struct {
	// Entry runs the entry process until it is stopped.
	Entry func(settings.Settings) error
	// Jobs runs the process for jobs on the users' platform until it is stopped.
	Jobs func(jobs.Settings) error
}

// Run carries out the command that args name, without the name of the
// program, and returns the exit code.
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
	if err != nil && !a.began {
		err = &exitError{ExitInvalid, err}
	}
	if err != nil {
		a.printError(err)
	}
	return exitCode(err)
}

// app is what the commands share.
type app struct {
	commands Commands
	out, err io.Writer
	options  options
	began    bool // The arguments were valid and a command was run.
}

type options struct {
	Server    string         `long:"server" env:"PERIDOTCRANK_SERVER" value-name:"URL" description:"Administration API of any entry process, such as https://10.0.0.1:8082"`
	TokenFile flags.Filename `long:"token-file" env:"PERIDOTCRANK_TOKEN_FILE" value-name:"FILE" description:"File with the operator's token"`
	CAFile    flags.Filename `long:"ca-file" env:"PERIDOTCRANK_CA_FILE" value-name:"FILE" description:"Certificate authority of the server, in PEM form (default: the system's)"`
	Output    outputForm     `long:"output" default:"text" choice:"text" choice:"json" description:"Form of results and errors"`
}

// outputForm is the form of results and errors.
type outputForm string

const outputJSON outputForm = "json"

// Complete implements [flags.Completer].
func (*outputForm) Complete(prefix string) []flags.Completion {
	return completeWords(prefix, "text", "json")
}

func completeWords(prefix string, words ...string) (items []flags.Completion) {
	for _, word := range words {
		if strings.HasPrefix(word, prefix) {
			items = append(items, flags.Completion{Item: word})
		}
	}
	return items
}

// client returns a client of the API that the options name.
func (a *app) client() (*client.Client, error) {
	if a.options.Server == "" || a.options.TokenFile == "" {
		return nil, invalid("--server and --token-file are required (or PERIDOTCRANK_SERVER and PERIDOTCRANK_TOKEN_FILE)")
	}
	token, err := os.ReadFile(string(a.options.TokenFile))
	if err != nil {
		return nil, invalid("read token: %w", err)
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

// query reads a value from the API and shows it.
func query[T any](a *app, read func(context.Context, *client.Client) (T, error), show func(*table, T)) error {
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

// change identifies a change, so that it can be repeated safely.
type change struct {
	RequestID string `long:"request-id" value-name:"ID" description:"Identity of the change; repeat it to repeat the change safely (default: a new one)"`
}

// apply carries out a change and shows the result. After an unknown outcome it
// says how to repeat the change.
func apply[T any](a *app, ch change, repeat string, write func(context.Context, *client.Client, string) (T, error), show func(*table, T)) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	if ch.RequestID == "" {
		ch.RequestID = uuid.NewString()
	} else if !admin.ValidID(ch.RequestID) {
		return invalid("--request-id %q: want up to %d characters of A-Z, a-z, 0-9, '.', '_' and '-'", ch.RequestID, admin.MaxIDBytes)
	}
	value, err := write(context.Background(), c, ch.RequestID)
	var api *admin.Error
	if errors.As(err, &api) && api.Code == admin.CodeOutcomeUnknown {
		return fmt.Errorf("%w\nrepeat the command with --request-id %s%s", err, ch.RequestID, repeat)
	}
	if err != nil {
		return err
	}
	return a.print(value, func(t *table) { show(t, value) })
}
