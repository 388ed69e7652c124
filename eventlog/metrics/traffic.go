package metrics

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"peridotcrank.dev/eventlog/wire"
)

// ControlTraffic is what a process has exchanged with peers and the platform
// since its start.
type ControlTraffic struct {
	Peers, Platform         wire.Totals
	PeerSent, PeerReceived  uint64 // Messages.
	StoreReads, StoreWrites uint64 // Requests to the table service.
	VMLists                 uint64 // Reads of the VM list.
}

// ObserveTraffic reads the counts whenever metrics are collected. Call it once.
func (m *Metrics) ObserveTraffic(read func() ControlTraffic) error {
	meter := m.provider.Meter(meterName)
	bytes, err1 := meter.Int64ObservableCounter("control.bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of the connections to peers and to the platform, by other side and direction."))
	messages, err2 := meter.Int64ObservableCounter("control.messages",
		metric.WithDescription("Messages between entry processes by direction."))
	requests, err3 := meter.Int64ObservableCounter("platform.requests",
		metric.WithDescription("Requests to the platform by operation."))
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	observe := func(_ context.Context, o metric.Observer) error {
		t := read()
		observeBytes(o, bytes, "peers", t.Peers)
		observeBytes(o, bytes, "platform", t.Platform)
		o.ObserveInt64(messages, int64(t.PeerSent), labels("direction", "sent"))
		o.ObserveInt64(messages, int64(t.PeerReceived), labels("direction", "received"))
		o.ObserveInt64(requests, int64(t.StoreReads), labels("operation", "read"))
		o.ObserveInt64(requests, int64(t.StoreWrites), labels("operation", "write"))
		o.ObserveInt64(requests, int64(t.VMLists), labels("operation", "list-vms"))
		return nil
	}
	_, err := meter.RegisterCallback(observe, bytes, messages, requests)
	return err
}

func observeBytes(o metric.Observer, counter metric.Int64Observable, side string, t wire.Totals) {
	o.ObserveInt64(counter, int64(t.Sent), labels("side", side, "direction", "sent"))
	o.ObserveInt64(counter, int64(t.Received), labels("side", side, "direction", "received"))
}

// labels builds a label set from names and values in turn.
func labels(pairs ...string) metric.MeasurementOption {
	set := make([]attribute.KeyValue, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		set = append(set, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributeSet(attribute.NewSet(set...))
}
