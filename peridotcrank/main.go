// Command peridotcrank is a fleet capacity and maintenance manager.
package main

import (
	"os"

	"peridotcrank.dev/peridotcrank/cli"
	"peridotcrank.dev/peridotcrank/entry"
	"peridotcrank.dev/peridotcrank/jobproc"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], cli.Commands{Entry: entry.RunUntilSignal, Jobs: jobproc.RunUntilSignal}))
}
