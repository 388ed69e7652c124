// Command peridotcrank is a fleet capacity and maintenance manager.
package main

import (
	"os"

	"peridotcrank.dev/peridotcrank/cli"
)

func main() {
	code := cli.Run(os.Args[1:], cli.Commands{})
	os.Exit(code)
}
