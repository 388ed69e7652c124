package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store/storetest"
	"peridotcrank.dev/testbed/backend"
	"peridotcrank.dev/testbed/platform"
	"peridotcrank.dev/testbed/site"
)

type platformCommand struct {
	Site       string        `long:"site" default:"quokka" description:"quokka or castwork"`
	Workers    int           `long:"workers" description:"workers of a scaled site, in place of --site"`
	BasePort   int           `long:"base-port" default:"21000" description:"first port of the backend servers"`
	Listen     string        `long:"listen" default:"127.0.0.1:20001" description:"IP:port of the platform"`
	Control    string        `long:"control" default:"127.0.0.1:20002" description:"control endpoint of the backend servers"`
	ListLag    time.Duration `long:"list-lag" default:"1s" description:"lag of the VM list"`
	RebootTime time.Duration `long:"reboot-time" default:"1s" description:"duration of a reboot"`
}

// Execute serves the table service, the VM list and reboots until the process is ended.
func (c *platformCommand) Execute([]string) error {
	s, err := site.ByName(c.Site)
	if err != nil {
		return err
	}
	if c.Workers > 0 {
		s = site.Scaled(c.Workers)
	}
	table := storetest.New()
	vms := s.VMs(c.BasePort)
	if err := platform.Seed(table, initialSnapshot(s, vms)); err != nil {
		return fmt.Errorf("seed the table: %w", err)
	}
	handler := platform.New(platform.Options{
		Table: table, VMs: vms, ListLag: c.ListLag, RebootTime: c.RebootTime, OnReboot: c.setBackendUp,
	})
	server := &http.Server{Addr: c.Listen, Handler: handler, ReadHeaderTimeout: headerTimeout}
	if err := server.ListenAndServe(); err != nil {
		return fmt.Errorf("serve platform: %w", err)
	}
	return nil
}

func initialSnapshot(s site.Site, vms []fleet.VM) *fleet.Snapshot {
	snapshot := &fleet.Snapshot{VMs: make(map[fleet.VMID]fleet.VM), Pools: make(map[fleet.PoolID]fleet.Pool)}
	for _, vm := range vms {
		snapshot.VMs[vm.ID] = vm
	}
	for _, pool := range s.Pools {
		snapshot.Pools[pool.ID] = fleet.Pool{ID: pool.ID, Capacity: pool.Workers, Spare: pool.ID == s.Spare}
	}
	return snapshot
}

// setBackendUp stops the backend server of a VM when its reboot starts and starts the
// server again when the reboot is done.
func (c *platformCommand) setBackendUp(vm fleet.VMID, up bool) {
	mode := backend.ModeDown
	if up {
		mode = backend.ModeOK
	}
	body, err := json.Marshal(backend.ModeRequest{Mode: mode})
	if err != nil {
		fmt.Fprintln(os.Stderr, "testbed:", err)
		return
	}
	response, err := http.Post("http://"+c.Control+"/v1/vms/"+string(vm)+"/mode", "application/json", bytes.NewReader(body))
	if err != nil {
		fmt.Fprintln(os.Stderr, "testbed: set the backend server mode of VM", vm, err)
		return
	}
	_ = response.Body.Close()
}
