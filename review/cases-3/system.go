package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
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
	// paths are the paths of the processes to the store.
	paths   []*storePath
	servers []*http.Server
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
	s.servers = []*http.Server{cloudServer}
	for i := range processes {
		path := &storePath{inner: s.store.handler()}
		storeAddress, storeServer, err := serve(path)
		if err != nil {
			return nil, err
		}
		s.paths, s.servers = append(s.paths, path), append(s.servers, storeServer)
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

// pathFault is what happens on the path of a process to the store.
type pathFault int32

const (
	pathSound    pathFault = iota
	pathSilent             // No call arrives, and no answer.
	pathRefusing           // Each call gets 503.
	pathReset              // Each connection is reset.
	pathSlow               // Each answer takes 240 ms.
	pathLossy              // A third of the transactions is carried out late and not answered.
)

const slowAnswer = 240 * time.Millisecond

// storePath is the path of a process to the store.
type storePath struct {
	inner http.Handler
	fault atomic.Int32
}

// ServeHTTP implements [http.Handler].
func (p *storePath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch pathFault(p.fault.Load()) {
	case pathSilent:
		_, _ = io.Copy(io.Discard, r.Body)
		hang(r)
	case pathRefusing:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case pathReset:
		panic(http.ErrAbortHandler)
	case pathSlow:
		time.Sleep(slowAnswer)
	case pathLossy:
		if r.Method == http.MethodPost && rand.IntN(100) < 35 {
			body, _ := io.ReadAll(r.Body)
			late := r.Clone(r.Context())
			time.AfterFunc(time.Second+rand.N(5*time.Second), func() {
				late.Body = io.NopCloser(bytes.NewReader(body))
				p.inner.ServeHTTP(httptest.NewRecorder(), late)
			})
			hang(r)
		}
	}
	p.inner.ServeHTTP(w, r)
}
