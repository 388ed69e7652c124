package metrics

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"peridotcrank.dev/eventlog/wire"
)

// ControlTraffic holds the numbers of bytes, messages and requests that a process
// has exchanged with peers and the platform since its start.
type ControlTraffic struct {
	Peers, Platform         wire.Totals
	Control, Claims         ClassTraffic
	StoreReads, StoreWrites uint64 // Requests to the table service.
	VMLists                 uint64 // Reads of the VM list.
}

// ClassTraffic holds the numbers of messages and bytes that a process has
// exchanged with peers in a traffic class. Bytes include the envelopes of the
// messages, but not the framing of yamux.
type ClassTraffic struct {
	Messages, Bytes wire.Totals
}

// ObserveTraffic registers a function that returns the current counts each time
// metrics are collected. Call it only once.
func (m *Metrics) ObserveTraffic(read func() ControlTraffic) error {
	meter := m.provider.Meter(meterName)
	bytes, err1 := meter.Int64ObservableCounter("control.bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of the connections to peers and to the platform, by other side and direction."))
	messages, err2 := meter.Int64ObservableCounter("control.messages",
		metric.WithDescription("Messages between entry processes by traffic class and direction."))
	messageBytes, err4 := meter.Int64ObservableCounter("control.message.bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of the messages between entry processes by traffic class and direction."))
	requests, err3 := meter.Int64ObservableCounter("platform.requests",
		metric.WithDescription("Requests to the platform by operation."))
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return err
	}
	observe := func(_ context.Context, o metric.Observer) error {
		t := read()
		observeTotals(o, bytes, "side", "peers", t.Peers)
		observeTotals(o, bytes, "side", "platform", t.Platform)
		observeTotals(o, messages, "class", "control", t.Control.Messages)
		observeTotals(o, messages, "class", "claims", t.Claims.Messages)
		observeTotals(o, messageBytes, "class", "control", t.Control.Bytes)
		observeTotals(o, messageBytes, "class", "claims", t.Claims.Bytes)
		o.ObserveInt64(requests, int64(t.StoreReads), labels("operation", "read"))
		o.ObserveInt64(requests, int64(t.StoreWrites), labels("operation", "write"))
		o.ObserveInt64(requests, int64(t.VMLists), labels("operation", "list-vms"))
		return nil
	}
	_, err := meter.RegisterCallback(observe, bytes, messages, messageBytes, requests)
	return err
}

func observeTotals(o metric.Observer, counter metric.Int64Observable, label, value string, t wire.Totals) {
	o.ObserveInt64(counter, int64(t.Sent), labels(label, value, "direction", "sent"))
	o.ObserveInt64(counter, int64(t.Received), labels(label, value, "direction", "received"))
}

// labels builds a label set from alternating names and values.
func labels(pairs ...string) metric.MeasurementOption {
	set := make([]attribute.KeyValue, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		set = append(set, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributeSet(attribute.NewSet(set...))
}
