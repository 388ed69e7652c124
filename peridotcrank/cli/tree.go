package cli

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

// commandGroup is a command that only groups other commands.
type commandGroup struct{}

// newParser returns the parser of all commands.
func newParser(a *app) *flags.Parser {
	parser := flags.NewNamedParser("peridotcrank", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "fleet capacity and maintenance manager"
	must(parser.AddGroup("Options of operator commands", "", &a.options))
	parser.CommandHandler = func(command flags.Commander, args []string) error {
		if len(args) > 0 {
			return invalidf("unexpected argument %q", args[0])
		}
		if command == nil {
			return nil
		}
		a.commandRan = true
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
	addCommand(parser.Command, "entry", "Run the entry process", &entryCommand{app: a})
	addCommand(parser.Command, "jobs", "Run the process for jobs on the users' platform", &jobsCommand{app: a})
	addCommand(parser.Command, "check", "Check settings and report every fault", &checkCommand{app: a})
	addCommand(parser.Command, "explain", "Explain what happened to a job, from the logs of all processes on standard input", &explainCommand{app: a})
	addCommand(parser.Command, "completion", "Print a completion script for bash, zsh or fish", &completionCommand{app: a})
}

func addIntent(parser *flags.Parser, a *app) {
	intent := addCommand(parser.Command, "intent", "Create and list intents", &commandGroup{})
	create := addCommand(intent, "create", "Create an intent and show its plan", &commandGroup{})
	addCommand(create, "pool-capacity", "A pool should hold this many VMs", &poolCapacityCommand{app: a})
	addCommand(create, "empty-rack", "A rack should be emptied for maintenance", &emptyRackCommand{app: a})
	addCommand(create, "configure", "A service should take this configuration", &configureCommand{app: a})
	addCommand(intent, "list", "List intents", &intentListCommand{app: a})
}

func addPlan(parser *flags.Parser, a *app) {
	plan := addCommand(parser.Command, "plan", "Show plans and decide on them", &commandGroup{})
	addCommand(plan, "create", "Compute a new plan for an intent", &planCreateCommand{app: a})
	addCommand(plan, "show", "Show a plan with its moves", &planShowCommand{app: a})
	addCommand(plan, "confirm", "Confirm a proposed plan", &planConfirmCommand{app: a})
	addCommand(plan, "reject", "Reject a proposed plan", &planRejectCommand{app: a})
	addCommand(plan, "cancel", "Stop a confirmed plan after the steps that have begun", &planCancelCommand{app: a})
	addCommand(plan, "list", "List plans", &planListCommand{app: a})
	addCommand(plan, "watch", "Show each change of a plan until it ends", &planWatchCommand{app: a})
}

func addLists(parser *flags.Parser, a *app) {
	pool := addCommand(parser.Command, "pool", "List pools", &commandGroup{})
	addCommand(pool, "list", "List pools", &poolListCommand{app: a})
	vm := addCommand(parser.Command, "vm", "List VMs", &commandGroup{})
	addCommand(vm, "list", "List VMs", &vmListCommand{app: a})
	member := addCommand(parser.Command, "member", "List entry processes", &commandGroup{})
	addCommand(member, "list", "List entry processes", &memberListCommand{app: a})
	addCommand(parser.Command, "timeline", "Show the events of all entry processes in causal order", &timelineCommand{app: a})
}

func addConfig(parser *flags.Parser, a *app) {
	config := addCommand(parser.Command, "config", "Set and show the configuration", &commandGroup{})
	addCommand(config, "set", "Set the services from a YAML file", &configSetCommand{app: a})
	addCommand(config, "get", "Show the configuration in force", &configGetCommand{app: a})
	addCommand(config, "status", "Show version and lag of each entry process", &configStatusCommand{app: a})
}

func addCommand(group *flags.Command, name, description string, command any) *flags.Command {
	return must(group.AddCommand(name, description, description+".", command))
}

// must panics on an error in the option tags. Such an error occurs in every run of
// any command, so the tests detect it.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
