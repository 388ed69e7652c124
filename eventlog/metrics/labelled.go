package metrics

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// cache creates a value on the first use of its key and keeps it forever. It is
// meant for a small number of keys.
type cache[K comparable, V any] struct {
	mu     sync.RWMutex
	values map[K]V
}

// get returns the value of a key. On the first use of the key it calls create.
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

// forEach calls visit for each value, with the cache locked for reading.
func (c *cache[K, V]) forEach(visit func(V)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, value := range c.values {
		visit(value)
	}
}

// labelledCounter is a counter with one or two labels. The label values are constants
// of the code, so that their number is bounded.
type labelledCounter struct {
	counter    metric.Int64Counter
	labelNames []string
	options    cache[[2]string, []metric.AddOption]
}

func newLabelledCounter(meter metric.Meter, name, description string, labels ...string) (*labelledCounter, error) {
	counter, err := meter.Int64Counter(name, metric.WithDescription(description))
	return &labelledCounter{counter: counter, labelNames: labels}, err
}

func (l *labelledCounter) add(first, second string) {
	key := [2]string{first, second}
	options := l.options.get(key, func() []metric.AddOption {
		labels := make([]attribute.KeyValue, len(l.labelNames))
		for i, name := range l.labelNames {
			labels[i] = attribute.String(name, key[i])
		}
		return addOptions(labels...)
	})
	l.counter.Add(context.Background(), 1, options...)
}

// addOptions returns the options that attach labels to a count. Callers keep the
// result, so that counting does not allocate.
func addOptions(labels ...attribute.KeyValue) []metric.AddOption {
	return []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(labels...))}
}
