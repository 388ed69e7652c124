package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"peridotcrank.dev/review/internal/standin"
)

func init() { cases["moved-queue-lookup"] = movedQueueLookup }

// movedQueueLookup: a queue is sent to another service, and single processes are killed and
// start again. Clients ask the others for jobs that were accepted before.
func movedQueueLookup(r *run) ([]string, error) {
	site, err := r.startMovable()
	if err != nil {
		return nil, err
	}
	defer site.Close()
	path := "/orders/00000000000000d1"
	if !site.Submit(site.Processes[0], path, job(standin.Spec{}, 2, 1800, map[string]any{"long-running": true}), 3*time.Second) {
		return nil, errNotPlayed
	}
	// A second job is cancelled at the moment of a wrong answer.
	second := "/orders/00000000000000d2"
	if !site.Submit(site.Processes[0], second, job(standin.Spec{}, 1, 1800, map[string]any{"long-running": true}), 3*time.Second) {
		return nil, errNotPlayed
	}
	accepted := r.Now()
	if !site.AwaitState(site.Processes[0], path, "running", 5*time.Second) {
		return nil, errNotPlayed
	}
	time.Sleep(visible)
	site.Configure(ordersIn("pool-b"), otherQueue)
	time.Sleep(configApply + stableWindow)
	l := &lookups{run: r, site: site, path: path, second: second, disturbedUntil: map[string]time.Duration{}, answers: map[string]int{}}
	stop := l.poll()
	for _, p := range slices.Repeat(site.Processes, rolls) {
		if !r.trouble {
			time.Sleep(stableWindow)
			continue
		}
		l.disturb(p.Name, time.Hour)
		p.Kill()
		time.Sleep(restartDelay)
		if err := p.Start(); err != nil {
			return nil, err
		}
		if !p.AwaitReady(10 * time.Second) {
			return nil, errNotPlayed
		}
		l.disturb(p.Name, stableWindow)
		time.Sleep(stableWindow + 500*time.Millisecond)
	}
	stop()
	for _, run := range site.Fleet.RunsOf(second[len("/orders/"):]) {
		r.Printf("beside the rule: %s run %d started at %.3f s, ended at %.3f s (0 for never); its DELETE: %v", run.Task, run.Number, run.Started.Seconds(), run.Ended.Seconds(), l.cancelled)
	}
	r.Printf("answers by process and status: %v, accepted at %.3f s", l.answers, accepted.Seconds())
	return l.broken, nil
}

const (
	// rolls is how often each process is killed.
	rolls = 3
	// restartDelay is the time until the platform starts a killed process again.
	restartDelay = 500 * time.Millisecond
	// clients is the number of clients that ask each process.
	clients = 8
)

// lookups asks all processes for a job, and collects the answers that the rule LOST forbids.
type lookups struct {
	*run
	site *standin.Site
	path string
	// second is the path of a job that is cancelled once, and cancelled how that was answered.
	second    string
	cancelled string

	mu             sync.Mutex
	disturbedUntil map[string]time.Duration
	answers        map[string]int
	broken         []string
}

// disturb marks a process as not in touch for a time.
func (l *lookups) disturb(name string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbedUntil[name] = l.Now() + d
}

func (l *lookups) inTouch(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Now() > l.disturbedUntil[name]
}

// Limits of the time between two GETs of a client at one process.
const (
	minPollPause = 300 * time.Millisecond
	maxPollPause = 1200 * time.Millisecond
)

// poll asks each process that is in touch until the returned function is called.
func (l *lookups) poll() (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for _, p := range slices.Repeat(l.site.Processes, clients) {
		group.Go(func() {
			last := standin.Answer{}
			for {
				select {
				case <-done:
					return
				case <-time.After(minPollPause + rand.N(maxPollPause-minPollPause)):
				}
				if !l.inTouch(p.Name) {
					continue
				}
				sent := l.Now()
				a := p.Call(http.MethodGet, standin.Host, l.path, nil, true)
				if a != last {
					l.Printf("client: GET %s at %s, sent at %.3f s: %d %s", l.path, p.Name, sent.Seconds(), a.Status, a.Body)
				}
				last = a
				if l.note(p.Name, sent, a) {
					a := p.Call(http.MethodDelete, standin.Host, l.second, nil, false)
					l.mu.Lock()
					l.cancelled = fmt.Sprintf("%d from %s", a.Status, p.Name)
					l.mu.Unlock()
				}
			}
		})
	}
	return func() { close(done); group.Wait() }
}

// note counts an answer, and reports whether it is the first wrong one.
func (l *lookups) note(name string, sent time.Duration, a standin.Answer) (firstWrong bool) {
	touched := l.inTouch(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[fmt.Sprintf("%s %d", name, a.Status)]++
	if a.Status == http.StatusGone && touched {
		firstWrong = len(l.broken) == 0
		l.broken = append(l.broken, fmt.Sprintf("LOST: GET %s, accepted and never cancelled, sent to %s at %.3f s, is answered 410 by a process in touch", l.path, name, sent.Seconds()))
	}
	return firstWrong
}
