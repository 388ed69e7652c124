package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// system is the system under test with its stand-ins.
type system struct {
	rec       *recorder
	dir       string
	store     *store
	world     *world
	cloud     *cloud
	processes []*process
	caller    *caller
	servers   []*http.Server
}

// newSystem starts the stand-ins of the platform and writes the settings of the processes.
func newSystem(record string, processes int) (*system, error) {
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, store: newStore(), world: newWorld(rec)}
	if s.dir, err = os.MkdirTemp("", "case"); err != nil {
		return nil, err
	}
	s.cloud = newCloud(s.world, s.store)
	cloudAddress, cloudServer, err := serve(s.cloud.handler())
	if err != nil {
		return nil, err
	}
	storeAddress, storeServer, err := serve(s.store.handler())
	if err != nil {
		return nil, err
	}
	s.servers = []*http.Server{cloudServer, storeServer}
	for i := range processes {
		p, err := newProcess(s.dir, fmt.Sprintf("front-%d", i), storeAddress, cloudAddress)
		if err != nil {
			return nil, err
		}
		s.processes = append(s.processes, p)
	}
	s.caller = newCaller(s.processes, rec)
	return s, nil
}

// startAll starts all processes and waits until each is ready to serve.
func (s *system) startAll(settle time.Duration) error {
	for _, p := range s.processes {
		if err := p.start(); err != nil {
			return err
		}
		s.rec.printf("start of %s", p.name)
	}
	time.Sleep(settle)
	return nil
}

// close ends all processes and removes the temporary folder. KEEP=1 keeps it.
func (s *system) close() {
	for _, p := range s.processes {
		p.end()
	}
	for _, server := range s.servers {
		server.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", filepath.Clean(s.dir))
		return
	}
	os.RemoveAll(s.dir)
}
