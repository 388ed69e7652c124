package cli

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

// parent is a command that only groups others.
type parent struct{}

// newParser returns the parser of all commands.
func newParser(a *app) *flags.Parser {
	parser := flags.NewNamedParser("peridotcrank", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "fleet capacity and maintenance manager"
	must(parser.AddGroup("Options of operator commands", "", &a.options))
	parser.CommandHandler = func(command flags.Commander, args []string) error {
		if len(args) > 0 {
			return invalid("unexpected argument %q", args[0])
		}
		if command == nil {
			return nil
		}
		a.began = true
		return command.Execute(nil)
	}
	parser.CompletionHandler = func(items []flags.Completion) {
		for _, item := range items {
			fmt.Fprintln(a.out, item.Item)
		}
	}
	addProcess(parser, a)
	addIntent(parser, a)
	addPlan(parser, a)
	addLists(parser, a)
	addConfig(parser, a)
	return parser
}

func addProcess(parser *flags.Parser, a *app) {
	add(parser.Command, "entry", "Run the entry process", &entryCommand{app: a})
	add(parser.Command, "jobs", "Run the process for jobs on the users' platform", &jobsCommand{app: a})
	add(parser.Command, "check", "Check settings and report every fault", &checkCommand{app: a})
	add(parser.Command, "explain", "Explain what happened to a job, from the logs of all processes on standard input", &explainCommand{app: a})
	add(parser.Command, "completion", "Print a completion script for bash, zsh or fish", &completionCommand{app: a})
}

func addIntent(parser *flags.Parser, a *app) {
	intent := add(parser.Command, "intent", "Create and list intents", &parent{})
	create := add(intent, "create", "Create an intent and show its plan", &parent{})
	add(create, "pool-capacity", "A pool should hold this many VMs", &poolCapacityCommand{app: a})
	add(create, "empty-rack", "A rack should be emptied for maintenance", &emptyRackCommand{app: a})
	add(create, "configure", "A service should take this configuration", &configureCommand{app: a})
	add(intent, "list", "List intents", &intentListCommand{app: a})
}

func addPlan(parser *flags.Parser, a *app) {
	plan := add(parser.Command, "plan", "Show plans and decide on them", &parent{})
	add(plan, "create", "Compute a new plan for an intent", &planCreateCommand{app: a})
	add(plan, "show", "Show a plan with its moves", &planShowCommand{app: a})
	add(plan, "confirm", "Confirm a proposed plan", &planConfirmCommand{app: a})
	add(plan, "reject", "Reject a proposed plan", &planRejectCommand{app: a})
	add(plan, "cancel", "Stop a confirmed plan after the steps that have begun", &planCancelCommand{app: a})
	add(plan, "list", "List plans", &planListCommand{app: a})
	add(plan, "watch", "Show each change of a plan until it ends", &planWatchCommand{app: a})
}

func addLists(parser *flags.Parser, a *app) {
	pool := add(parser.Command, "pool", "List pools", &parent{})
	add(pool, "list", "List pools", &poolListCommand{app: a})
	vm := add(parser.Command, "vm", "List VMs", &parent{})
	add(vm, "list", "List VMs", &vmListCommand{app: a})
	member := add(parser.Command, "member", "List entry processes", &parent{})
	add(member, "list", "List entry processes", &memberListCommand{app: a})
	add(parser.Command, "timeline", "Show the events of all entry processes in causal order", &timelineCommand{app: a})
}

func addConfig(parser *flags.Parser, a *app) {
	config := add(parser.Command, "config", "Set and show the configuration", &parent{})
	add(config, "set", "Set the services from a YAML file", &configSetCommand{app: a})
	add(config, "get", "Show the configuration in force", &configGetCommand{app: a})
	add(config, "status", "Show version and lag of each entry process", &configStatusCommand{app: a})
}

func add(to *flags.Command, name, description string, command any) *flags.Command {
	return must(to.AddCommand(name, description, description+".", command))
}

// must panics on a fault of the option tags, which each run of any command shows.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
