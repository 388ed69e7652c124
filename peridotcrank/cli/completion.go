package cli

import (
	_ "embed"
	"fmt"

	"github.com/jessevdk/go-flags"
)

// The scripts call the program with GO_FLAGS_COMPLETION set. go-flags then
// prints the possible completions instead of running a command.
var (
	//go:embed completion.bash
	completionBash string
	//go:embed completion.zsh
	completionZsh string
	//go:embed completion.fish
	completionFish string
)

type shell string

// Complete implements [flags.Completer].
func (*shell) Complete(prefix string) []flags.Completion {
	return completeChoices(prefix, "bash", "zsh", "fish")
}

type completionCommand struct {
	app  *app
	Args struct {
		Shell shell `positional-arg-name:"SHELL" description:"bash, zsh or fish"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints a completion script.
func (c *completionCommand) Execute([]string) error {
	scripts := map[shell]string{"bash": completionBash, "zsh": completionZsh, "fish": completionFish}
	script, ok := scripts[c.Args.Shell]
	if !ok {
		return invalidf("shell %q; accepted: bash, zsh, fish", c.Args.Shell)
	}
	if _, err := fmt.Fprint(c.app.out, script); err != nil {
		return fmt.Errorf("write script: %w", err)
	}
	return nil
}
