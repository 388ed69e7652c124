package admin

import (
	"unicode/utf8"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/settings"
)

// toIntent returns the requested intent. It refuses a request that lacks a field
// of its kind or has a field of another kind.
func (r IntentRequest) toIntent() (fleet.Intent, error) {
	intent := fleet.Intent{Kind: r.Kind, Pool: r.Pool, Rack: r.Rack, Service: r.Service}
	if r.Capacity != nil {
		intent.Capacity = *r.Capacity
	}
	switch r.Kind {
	case fleet.IntentPoolCapacity:
		return intent, r.validatePoolCapacity()
	case fleet.IntentEmptyRack:
		return intent, r.validateEmptyRack()
	case fleet.IntentConfigure:
		return intent, r.validateConfigure()
	}
	return fleet.Intent{}, Errorf(CodeInvalid, stepDecode, "kind: %q is not one of %s, %s, %s",
		r.Kind, fleet.IntentPoolCapacity, fleet.IntentEmptyRack, fleet.IntentConfigure)
}

func (r IntentRequest) validatePoolCapacity() error {
	if !ValidID(string(r.Pool)) || r.Capacity == nil || r.Rack != "" || r.Service != nil {
		return Errorf(CodeInvalid, stepDecode, "%s needs pool and capacity, and nothing else", r.Kind)
	}
	if *r.Capacity < 0 || *r.Capacity > MaxCapacity {
		return Errorf(CodeInvalid, stepDecode, "capacity: %d is not between 0 and %d VMs", *r.Capacity, MaxCapacity)
	}
	return nil
}

func (r IntentRequest) validateEmptyRack() error {
	if !ValidID(string(r.Rack)) || r.Pool != "" || r.Capacity != nil || r.Service != nil {
		return Errorf(CodeInvalid, stepDecode, "%s needs rack, and nothing else", r.Kind)
	}
	return nil
}

func (r IntentRequest) validateConfigure() error {
	if r.Service == nil || r.Pool != "" || r.Capacity != nil || r.Rack != "" {
		return Errorf(CodeInvalid, stepDecode, "%s needs service, and nothing else", r.Kind)
	}
	if err := settings.ValidateServices([]fleet.Service{*r.Service}); err != nil {
		return Errorf(CodeInvalid, stepDecode, "%w", err)
	}
	return nil
}

// decodeReason returns the reason in the body of a rejection or cancellation.
func decodeReason(body []byte) (string, error) {
	var request ReasonRequest
	if err := decode(body, &request); err != nil {
		return "", err
	}
	if len(request.Reason) > MaxReasonBytes || !utf8.ValidString(request.Reason) {
		return "", Errorf(CodeInvalid, stepDecode, "reason: more than %d bytes", MaxReasonBytes)
	}
	return request.Reason, nil
}
