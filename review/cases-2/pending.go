package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	slowTimes     = 60
	slowFor       = 4500 * time.Millisecond
	pendingEvery  = 15 * time.Millisecond
	pendingFor    = 3 * time.Second
	moveAfter     = 250 * time.Millisecond
	shortDeadline = 600 * time.Millisecond
	maxTries      = 5
	visible       = 3 * time.Second
)

// pendingMove replaces a route by one to another service while the store is slow. Clients repeat requests that get no
// answer in time.
func pendingMove(p *play) (broken []string) {
	s := newSystem(p.record)
	defer s.close()
	services := []string{"counterdesk", "stockroom"}
	for _, service := range services {
		for range 3 {
			s.fleet.add(service, 32000)
		}
	}
	s.configure(services, []route{{"order", "/order/", "counterdesk"}})
	for i := range 4 {
		s.addDaemon(p.root, i+1, "127.0.0.1")
	}
	s.awaitReady()
	await("a first job is accepted", 20*time.Second, func() bool {
		return s.send(s.daemons[0], http.MethodPost, "/order/0000000000000001", jobBody("first", 1, 500, 500), callLimit).status == http.StatusOK
	})
	time.Sleep(5 * time.Second)
	if p.trouble {
		s.store.setSlowness(slowTimes)
		p.record.line("the store takes %d times as long", slowTimes)
		time.AfterFunc(slowFor, func() { s.store.setSlowness(1) })
	}
	time.AfterFunc(moveAfter, func() { s.configure(services, []route{{"order-2", "/order/", "stockroom"}}) })
	var group sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]bool{}
	began := time.Now()
	for i := 0; time.Since(began) < pendingFor; i++ {
		path := fmt.Sprintf("/order/%016x", 0x1000+i)
		group.Go(func() {
			for range maxTries {
				d := s.daemons[rand.IntN(len(s.daemons))]
				switch s.send(d, http.MethodPost, path, jobBody("order", 1, 500, 500), shortDeadline).status {
				case http.StatusOK:
					mu.Lock()
					accepted[path] = true
					mu.Unlock()
					return
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					time.Sleep(time.Second)
				}
			}
		})
		time.Sleep(pendingEvery)
	}
	group.Wait()
	time.Sleep(slowFor + visible)
	lost := 0
	for path := range accepted {
		for range maxTries {
			a := s.send(s.daemons[rand.IntN(len(s.daemons))], http.MethodGet, path, nil, callLimit)
			if a.status == http.StatusGone {
				lost++
				broken = append(broken, fmt.Sprintf("%s was accepted with 200, and a GET is answered 410", strings.TrimPrefix(path, "/order/")))
			}
			if a.status == http.StatusOK || a.status == http.StatusGone {
				break
			}
		}
	}
	p.record.line("%d jobs were accepted, %d of them are not known", len(accepted), lost)
	return broken
}
