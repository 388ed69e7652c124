package metrics

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// cache creates a value per key once. Keys are few and stay.
type cache[K comparable, V any] struct {
	mu     sync.RWMutex
	values map[K]V
}

func (c *cache[K, V]) get(key K, create func() V) V {
	c.mu.RLock()
	value, ok := c.values[key]
	c.mu.RUnlock()
	if ok {
		return value
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if value, ok := c.values[key]; ok {
		return value
	}
	if c.values == nil {
		c.values = map[K]V{}
	}
	c.values[key] = create()
	return c.values[key]
}

// each calls visit for each value.
func (c *cache[K, V]) each(visit func(V)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, value := range c.values {
		visit(value)
	}
}

// labelled is a counter with one or two labels whose values come from the code.
type labelled struct {
	counter metric.Int64Counter
	names   []string
	options cache[[2]string, []metric.AddOption]
}

func newLabelled(meter metric.Meter, name, description string, labels ...string) (*labelled, error) {
	counter, err := meter.Int64Counter(name, metric.WithDescription(description))
	return &labelled{counter: counter, names: labels}, err
}

func (l *labelled) add(first, second string) {
	key := [2]string{first, second}
	options := l.options.get(key, func() []metric.AddOption {
		labels := make([]attribute.KeyValue, len(l.names))
		for i, name := range l.names {
			labels[i] = attribute.String(name, key[i])
		}
		return addOptions(labels...)
	})
	l.counter.Add(context.Background(), 1, options...)
}

// addOptions builds a label set once, so that counting does not allocate.
func addOptions(labels ...attribute.KeyValue) []metric.AddOption {
	return []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(labels...))}
}
