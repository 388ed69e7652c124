package main

import (
	"os"

	"peridotcrank.dev/testbed/soak"
)

type demoCommand struct {
	Binary string `long:"binary" required:"yes" description:"program under test"`
	Dir    string `long:"dir" description:"directory for settings and logs; a temporary one without"`
}

// Execute runs the demonstration of the job path.
func (c *demoCommand) Execute([]string) error {
	if c.Dir == "" {
		dir, err := os.MkdirTemp("", "peridotcrank-demo-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		c.Dir = dir
	}
	return soak.Demo(c.Binary, c.Dir, os.Stdout)
}
