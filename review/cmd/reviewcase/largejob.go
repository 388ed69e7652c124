package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"peridotcrank.dev/review/internal/standin"
)

func init() { cases["large-job"] = largeJob }

// Bounds of the site.
const (
	ackTime    = 4 * time.Second
	cancelTime = 3 * time.Second
	stopTime   = 900 * time.Millisecond
)

// largeJobBody returns a job of 250 steps in a chain. Each step names all earlier ones and an
// image, as a build pipeline does. The body is smaller than max-body-bytes.
func largeJobBody() map[string]any {
	var steps []any
	for i := range 250 {
		step := map[string]any{
			"count": 1, "cpu": 500, "mem-mb": 256, "est-ms": 100,
			"image": fmt.Sprintf("registry.shop.example/%s/step-%03d", strings.Repeat("stock-pipeline-", 6), i),
		}
		var after []int
		for earlier := range i {
			after = append(after, earlier)
		}
		if i > 0 {
			step["after"] = after
		}
		steps = append(steps, step)
	}
	return map[string]any{"spec": standin.Spec{MS: 100}.String(), "steps": steps}
}

// largeJob: a client hands in a job that is larger than a row of the store may be. A client
// of the same service then cancels a job that was accepted before.
func largeJob(r *run) ([]string, error) {
	site, err := standin.NewSite(r.Record, []string{"pool-a"}, 4)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	site.Configure(standin.Queue{Name: "orders", Prefix: "/orders/", Pool: "pool-a", Attempts: 3})
	if err := site.StartProcesses(r.binary, 3, ""); err != nil {
		return nil, err
	}
	first, second := site.Processes[0], site.Processes[1]
	lasting, small := "/orders/00000000000000e1", "/orders/00000000000000e2"
	if !site.Submit(first, lasting, job(standin.Spec{}, 2, 1800, map[string]any{"long-running": true}), 15*time.Second) {
		return nil, errNotPlayed
	}
	if !site.AwaitState(first, lasting, "running", 10*time.Second) {
		return nil, errNotPlayed
	}
	time.Sleep(visible)
	if !site.Submit(first, small, job(standin.Spec{MS: 1300}, 4, 1800, nil), 3*time.Second) {
		return nil, errNotPlayed
	}
	if r.trouble {
		body := largeJobBody()
		encoded, _ := json.Marshal(body)
		r.Printf("client: hands in a job of %d bytes, of at most %d", len(encoded), standin.MaxBodyBytes)
		if len(encoded) > standin.MaxBodyBytes {
			return nil, errNotPlayed
		}
		second.Call(http.MethodPost, standin.Host, "/orders/00000000000000ff", body, false)
	}
	time.Sleep(time.Second)
	cancelled := r.Now()
	acknowledged := time.Duration(0)
	limit := cancelled + ackTime + cancelTime + stopTime
	for i := 0; acknowledged == 0 && r.Now() < limit+6*time.Second; i++ {
		a := site.Processes[i%3].Call(http.MethodDelete, standin.Host, lasting, nil, false)
		if a.Status/100 == 2 || a.Status == http.StatusGone {
			acknowledged = r.Now()
		}
		time.Sleep(200 * time.Millisecond)
	}
	if acknowledged > 0 {
		limit = min(limit, acknowledged+cancelTime+stopTime)
	}
	time.Sleep(max(limit-r.Now(), 0) + time.Second)
	refusals := 0
	for i := range 5 {
		if a := site.Processes[i%3].Call(http.MethodPost, standin.Host, fmt.Sprintf("/orders/00000000000001%02d", i), job(standin.Spec{MS: 100}, 1, 500, nil), false); a.Status/100 != 2 {
			refusals++
		}
	}
	state := first.Call(http.MethodGet, standin.Host, small, nil, false).State()
	var broken []string
	for _, run := range site.Fleet.RunsOf(lasting[len("/orders/"):]) {
		if run.Ended == 0 || run.Ended > limit {
			broken = append(broken, fmt.Sprintf("UNASKED: %s run %d still works at %.3f s; its job's cancelling was sent at %.3f s, acknowledged: %v, and it had to be gone at %.3f s", run.Task, run.Number, r.Now().Seconds(), cancelled.Seconds(), acknowledged > 0, limit.Seconds()))
		}
	}
	r.Printf("beside the rule: %d of 5 later submissions weren't accepted; the small job is shown as %s; the store refused %d transactions", refusals, state, site.Store.Refused())
	for _, run := range site.Fleet.RunsOf(small[len("/orders/"):]) {
		r.Printf("beside the rule: %s run %d ended %s at %.3f s, taken note of at %.3f s (0 for never)", run.Task, run.Number, run.How, run.Ended.Seconds(), run.NotedAt.Seconds())
	}
	return broken, nil
}
