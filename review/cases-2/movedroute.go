package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	movedJobs = 6
	// repeatAfter is the time from an acknowledgement to the repeated request.
	repeatAfter = time.Second
	callLimit   = 3 * time.Second
)

func jobBody(spec string, tasks int, cpu, estimate int64) map[string]any {
	return map[string]any{"spec": spec, "steps": []any{map[string]any{"count": tasks, "cpu": cpu, "mem-mb": 256, "est-ms": estimate}}}
}

// movedRoute moves a route to another service while one process is cut off from the store. Each job is accepted by
// another process; the request is repeated at the one that is cut off.
func movedRoute(p *play) []string {
	s := newSystem(p.record)
	defer s.close()
	s.fleet.length = func(string) time.Duration { return 2 * time.Second }
	services := []string{"counterdesk", "stockroom"}
	for _, service := range services {
		for range 3 {
			s.fleet.add(service, 32000)
		}
	}
	others := route{"stock", "/stock/", "stockroom"}
	s.configure(services, []route{{"order", "/order/", "counterdesk"}, others})
	for i := range 4 {
		s.addDaemon(p.root, i+1, "127.0.0.1")
	}
	s.awaitReady()
	for i, prefix := range []string{"/order/", "/stock/"} {
		await("a first job of "+prefix, 20*time.Second, func() bool {
			return s.send(s.daemons[0], http.MethodPost, prefix+fmt.Sprintf("%016x", i+1), jobBody("first", 1, 1000, 2000), callLimit).status == http.StatusOK
		})
	}
	time.Sleep(4 * time.Second)
	// A process that owns no pool, so that the cut concerns requests only.
	var cut, sound *daemon
	for _, d := range s.daemons {
		owner := d.logHas("shard-acquired", "counterdesk") || d.logHas("shard-acquired", "stockroom")
		if !owner && cut == nil {
			cut = d
		} else {
			sound = d
		}
	}
	if cut == nil || sound == nil {
		fail("no process without a pool")
	}
	if p.trouble {
		cut.storage.cut()
		p.record.line("%s is cut off from the store", cut.name)
		time.AfterFunc(5500*time.Millisecond, func() {
			cut.storage.heal()
			p.record.line("%s reaches the store again", cut.name)
		})
	}
	// The route is removed, and added again for the other service.
	s.configure(services, []route{others})
	s.configure(services, []route{{"order", "/order/", "stockroom"}, others})
	time.Sleep(200 * time.Millisecond)
	var group sync.WaitGroup
	for i := range movedJobs {
		path := fmt.Sprintf("/order/%016x", 0xa0+i)
		group.Go(func() {
			body := jobBody("order", 2, 1000, 2000)
			if s.send(sound, http.MethodPost, path, body, callLimit).status != http.StatusOK {
				return
			}
			time.Sleep(repeatAfter)
			s.send(cut, http.MethodPost, path, body, callLimit)
		})
	}
	group.Wait()
	time.Sleep(9 * time.Second)
	return s.ledger.ranTwice()
}
