package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"peridotcrank.dev/fleet"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMInfo is an entry of the platform's VM list.
type VMInfo struct {
	ID          fleet.VMID   `json:"id"`
	Address     string       `json:"address"` // IP:port.
	Rack        fleet.RackID `json:"rack"`
	Zone        fleet.ZoneID `json:"zone"`
	Slots       int          `json:"slots"`
	Connections int          `json:"connections"`
	State       VMState      `json:"state"`
}

// RebootState is the state of a reboot operation.
type RebootState = fleet.RebootState

// States of a reboot operation.
const (
	RebootUnknown = fleet.RebootUnknown
	RebootRunning = fleet.RebootRunning
	RebootDone    = fleet.RebootDone
	RebootFailed  = fleet.RebootFailed
)

// VMList is the platform's VM list. It lags behind the actual state of the VMs.
type VMList struct {
	VMs  []VMInfo  `json:"vms"`
	AsOf time.Time `json:"-"` // Local time at which the read was sent.
	// Unchanged is set, and VMs is empty, when the list has not changed since the
	// previous read.
	Unchanged bool `json:"-"`
}

// Platform lists and reboots VMs.
type Platform interface {
	// VMs returns the platform's current VM list.
	VMs(ctx context.Context) (VMList, error)
	// Reboot starts a reboot. A repeated call with the same operation has no effect.
	Reboot(ctx context.Context, vm fleet.VMID, operation string) error
	// RebootState returns RebootUnknown for an operation that was never started.
	RebootState(ctx context.Context, vm fleet.VMID, operation string) (RebootState, error)
}

// HTTPPlatform implements Platform over HTTP.
type HTTPPlatform struct {
	transport *HTTPTransport
	timeout   time.Duration

	mu   sync.Mutex
	etag string // Entity tag of the last list; empty when the platform sent none.
}

// NewHTTPPlatform returns a client of the VM list and of reboots. A timeout of 0
// means DefaultRequestTimeout.
func NewHTTPPlatform(base, client string, timeout time.Duration) (*HTTPPlatform, error) {
	t, err := NewHTTPTransport(base, client)
	if err != nil {
		return nil, err
	}
	setDefault(&timeout, DefaultRequestTimeout)
	return &HTTPPlatform{transport: t, timeout: timeout}, nil
}

// VMs implements Platform.
func (p *HTTPPlatform) VMs(ctx context.Context) (VMList, error) {
	p.transport.counters.lists.Add(1)
	header, list := http.Header{}, VMList{AsOf: time.Now()}
	p.mu.Lock()
	if p.etag != "" {
		header.Set("If-None-Match", p.etag)
	}
	p.mu.Unlock()
	meta, err := p.call(ctx, "list VMs", http.MethodGet, "/v1/vms", header, nil, &list)
	switch {
	case meta.status == http.StatusNotModified && len(header) > 0:
		list.Unchanged = true
		return list, nil
	case err != nil:
		return VMList{}, err
	}
	p.mu.Lock()
	p.etag = meta.etag
	p.mu.Unlock()
	return list, nil
}

// Reboot implements Platform.
func (p *HTTPPlatform) Reboot(ctx context.Context, vm fleet.VMID, operation string) error {
	body, err := json.Marshal(map[string]string{"operation": operation})
	if err != nil {
		return err
	}
	_, err = p.call(ctx, "reboot "+string(vm), http.MethodPost, "/v1/vms/"+url.PathEscape(string(vm))+"/reboot", nil, body, nil)
	return err
}

// RebootState implements Platform.
func (p *HTTPPlatform) RebootState(ctx context.Context, vm fleet.VMID, operation string) (RebootState, error) {
	var reply struct {
		State RebootState `json:"state"`
	}
	path := "/v1/vms/" + url.PathEscape(string(vm)) + "/reboot/" + url.PathEscape(operation)
	meta, err := p.call(ctx, "reboot state of "+string(vm), http.MethodGet, path, nil, nil, &reply)
	if meta.status == http.StatusNotFound {
		return RebootUnknown, nil
	}
	return reply.State, err
}

// responseMeta holds the status and the entity tag of a response. It is empty
// when there was no response.
type responseMeta struct {
	status int
	etag   string
}

// call sends one request and decodes the response into into, unless that is
// nil. A status of 300 or above is returned as an error.
func (p *HTTPPlatform) call(ctx context.Context, step, method, path string, header http.Header, body []byte, into any) (responseMeta, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	res, err := p.transport.send(ctx, method, path, body, header)
	if err != nil {
		return responseMeta{}, &Error{Step: step, Peer: p.transport.Peer(), Err: fmt.Errorf("%w: %w", ErrUnavailable, err)}
	}
	defer drainAndClose(res.Body)
	meta := responseMeta{res.StatusCode, res.Header.Get("ETag")}
	if res.StatusCode >= http.StatusMultipleChoices {
		return meta, &Error{Step: step, Peer: p.transport.Peer(), Err: statusError(res)}
	}
	if into == nil {
		return meta, nil
	}
	if err := decode(res.Body, into); err != nil {
		return meta, &Error{Step: step, Peer: p.transport.Peer(), Err: err}
	}
	return meta, nil
}
