package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
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

// VMList is the platform's VM list, which lags behind the VMs.
type VMList struct {
	VMs  []VMInfo  `json:"vms"`
	AsOf time.Time `json:"-"` // Local time at which the read was sent.
}

// Platform lists and reboots VMs.
type Platform interface {
	VMs(ctx context.Context) (VMList, error)
	// Reboot starts a reboot. Repeating it with the same operation has no further effect.
	Reboot(ctx context.Context, vm fleet.VMID, operation string) error
	// RebootState returns RebootUnknown for an operation that was never started.
	RebootState(ctx context.Context, vm fleet.VMID, operation string) (RebootState, error)
}

// HTTPPlatform implements Platform over HTTP.
type HTTPPlatform struct {
	t       *HTTPTransport
	timeout time.Duration
}

// NewHTTPPlatform returns a client of the VM list and of reboots. A timeout of 0
// means DefaultRequestTimeout.
func NewHTTPPlatform(base, client string, timeout time.Duration) (*HTTPPlatform, error) {
	t, err := NewHTTPTransport(base, client)
	if err != nil {
		return nil, err
	}
	def(&timeout, DefaultRequestTimeout)
	return &HTTPPlatform{t: t, timeout: timeout}, nil
}

// VMs implements Platform.
func (p *HTTPPlatform) VMs(ctx context.Context) (VMList, error) {
	p.t.counts.lists.Add(1)
	list := VMList{AsOf: time.Now()}
	_, err := p.call(ctx, "list VMs", http.MethodGet, "/v1/vms", nil, &list)
	return list, err
}

// Reboot implements Platform.
func (p *HTTPPlatform) Reboot(ctx context.Context, vm fleet.VMID, operation string) error {
	body, err := json.Marshal(map[string]string{"operation": operation})
	if err != nil {
		return err
	}
	_, err = p.call(ctx, "reboot "+string(vm), http.MethodPost, "/v1/vms/"+url.PathEscape(string(vm))+"/reboot", body, nil)
	return err
}

// RebootState implements Platform.
func (p *HTTPPlatform) RebootState(ctx context.Context, vm fleet.VMID, operation string) (RebootState, error) {
	var reply struct {
		State RebootState `json:"state"`
	}
	path := "/v1/vms/" + url.PathEscape(string(vm)) + "/reboot/" + url.PathEscape(operation)
	status, err := p.call(ctx, "reboot state of "+string(vm), http.MethodGet, path, nil, &reply)
	if status == http.StatusNotFound {
		return RebootUnknown, nil
	}
	return reply.State, err
}

func (p *HTTPPlatform) call(ctx context.Context, step, method, path string, body []byte, into any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	res, err := p.t.send(ctx, method, path, body, nil)
	if err != nil {
		return 0, &Error{Step: step, Peer: p.t.Peer(), Err: fmt.Errorf("%w: %w", ErrUnavailable, err)}
	}
	defer drainAndClose(res.Body)
	if res.StatusCode >= http.StatusMultipleChoices {
		return res.StatusCode, &Error{Step: step, Peer: p.t.Peer(), Err: statusError(res)}
	}
	if into == nil {
		return res.StatusCode, nil
	}
	if err := decode(res.Body, into); err != nil {
		return res.StatusCode, &Error{Step: step, Peer: p.t.Peer(), Err: err}
	}
	return res.StatusCode, nil
}
