package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	lifeWorkers  = 9
	lifeLoadFor  = 12 * time.Second
	lifeMaxLate  = 12 * time.Second
	lifeCutAfter = lateFor + 100*time.Millisecond
	lifeCutFor   = 5500 * time.Millisecond
	lifeCrash    = 100 * time.Millisecond // From the cut to the crash.
	lifeDown     = 300 * time.Millisecond
	// lifeEnd is when all late orders were carried out and all ends were acknowledged.
	lifeEnd = 45 * time.Second
)

// nextLife lets workers leave some orders unanswered for some seconds. Then one worker is cut off, crashes behind the cut and
// starts again, and its next life carries out the late orders.
func nextLife(p *play) []string {
	s := newSystem(p.record)
	defer s.close()
	s.fleet.length = func(string) time.Duration { return lateTaskTime }
	s.fleet.maxLate = lifeMaxLate
	for range lifeWorkers {
		s.fleet.add("counterdesk", lateCPU)
	}
	s.configure([]string{"counterdesk"}, []route{{"order", "/order/", "counterdesk"}})
	for i := range 3 {
		s.addDaemon(p.root, i+1, "127.0.0.1")
	}
	s.awaitReady()
	await("a first job is accepted", 20*time.Second, func() bool {
		return s.send(s.daemons[0], http.MethodPost, "/order/00000000000000ff", jobBody("first", 1, 1000, 900), callLimit).status == http.StatusOK
	})
	time.Sleep(5 * time.Second)
	began := time.Now()
	go func() {
		for i := 0; time.Since(began) < lifeLoadFor; i++ {
			path := fmt.Sprintf("/order/%016x", 0x1000+i)
			go s.send(s.daemons[i%3], http.MethodPost, path, jobBody("small tasks", lateTasks, lateTaskCPU, lateTaskTime.Milliseconds()), callLimit)
			time.Sleep(lateEvery)
		}
	}()
	if p.trouble {
		p.record.line("the workers leave %.3f of the orders unanswered and carry them out %v to %v later", lateShare, minLate, lifeMaxLate)
		workers := s.fleet.ofPool("counterdesk")
		for _, w := range workers {
			w.setLate(lateShare)
		}
		time.Sleep(lateFor)
		for _, w := range workers {
			w.setLate(0)
		}
		time.Sleep(lifeCutAfter - lateFor)
		first := slices.MaxFunc(workers, func(a, b *worker) int { return cmp.Compare(a.lateStarts(), b.lateStarts()) })
		first.setCut(true)
		p.record.line("worker %s, which left %d starts unanswered, is cut off from all processes", first.id, first.lateStarts())
		time.Sleep(lifeCrash)
		first.crash()
		time.Sleep(lifeDown)
		first.restart()
		p.record.line("worker %s has crashed behind the cut and started again", first.id)
		time.Sleep(lifeCutFor - lifeCrash - lifeDown)
		first.setCut(false)
		p.record.line("the cut of worker %s has healed", first.id)
	}
	time.Sleep(time.Until(began.Add(lifeEnd)))
	return s.ledger.ranTwice()
}
