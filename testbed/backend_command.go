package main

import (
	"fmt"
	"net/http"
	"time"

	"peridotcrank.dev/testbed/backend"
	"peridotcrank.dev/testbed/site"
)

const headerTimeout = 10 * time.Second

type backendCommand struct {
	Site        string        `long:"site" default:"quokka" description:"quokka or castwork"`
	BasePort    int           `long:"base-port" default:"21000" description:"first port of the backend servers"`
	Control     string        `long:"control" default:"127.0.0.1:20002" description:"IP:port of the control endpoint"`
	ServiceTime time.Duration `long:"service-time" default:"20ms" description:"mean time of a request"`
	Connections int           `long:"connections" description:"connections that each backend server accepts; 0 takes the site's 64"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the service times"`
}

// Execute runs the backend servers and their control endpoint until the process is ended.
func (c *backendCommand) Execute([]string) error {
	s, err := site.ByName(c.Site)
	if err != nil {
		return err
	}
	fleet := backend.NewFleet(&backend.RunLog{})
	for i, vm := range s.VMs(c.BasePort) {
		if c.Connections > 0 {
			vm.Connections = c.Connections
		}
		err := fleet.Add(backend.Options{
			VM: string(vm.ID), Address: vm.Address, Slots: vm.Slots, Connections: vm.Connections,
			ServiceTime: c.ServiceTime, Seed: c.Seed + uint64(i),
		})
		if err != nil {
			return err
		}
	}
	server := &http.Server{Addr: c.Control, Handler: fleet.Handler(), ReadHeaderTimeout: headerTimeout}
	if err := server.ListenAndServe(); err != nil {
		return fmt.Errorf("serve control endpoint: %w", err)
	}
	return nil
}
