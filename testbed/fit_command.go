package main

import (
	"bytes"
	"fmt"
	"os"

	"peridotcrank.dev/testbed/fit"
)

type fitCommand struct {
	Output     string   `long:"output" required:"true" description:"file for the tables in Markdown"`
	Plot       string   `long:"plot" description:"file for the plot of the times by workers (SVG or PNG)"`
	Title      string   `long:"title" default:"Scale benchmarks" description:"title of the page"`
	Command    string   `long:"command" default:"make bench" description:"command that made the page"`
	NearLinear []string `long:"near-linear" description:"mechanism whose time must grow at most about linearly; repeat for more"`
	Args       struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute fits lines to the benchmarks of all files and writes the page and the plot. It
// fails when a mechanism of --near-linear grows faster than about linearly.
func (c *fitCommand) Execute([]string) error {
	var input bytes.Buffer
	for _, name := range c.Args.Files {
		text, err := os.ReadFile(name)
		if err != nil {
			return fmt.Errorf("read benchmarks: %w", err)
		}
		input.Write(append(text, '\n'))
	}
	series, err := fit.ReadSeries(&input, "benchmarks")
	if err != nil {
		return err
	}
	page := bytes.NewBufferString(c.pageHeader())
	if err := fit.WriteTables(page, series); err != nil {
		return err
	}
	if err := os.WriteFile(c.Output, page.Bytes(), 0o644); err != nil {
		return fmt.Errorf("write tables: %w", err)
	}
	if c.Plot != "" {
		if err := fit.Plot(c.Plot, series, "workers", "ns/op"); err != nil {
			return err
		}
	}
	for _, mechanism := range c.NearLinear {
		if err := fit.CheckNearLinear(series, mechanism); err != nil {
			return err
		}
	}
	return nil
}

func (c *fitCommand) pageHeader() string {
	return fmt.Sprintf("# %s\n\nMade by `%s`; do not edit. Each row is a line fitted to at least three sizes. The error is the root mean\n"+
		"square of the relative residuals. The exponent is the power of the size with which the value grows: 1 is linear. The\n"+
		"values at the sizes are those of the line.\n", c.Title, c.Command)
}
