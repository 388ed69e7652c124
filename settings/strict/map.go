package strict

import (
	"fmt"
	"strings"

	"gopkg.in/yaml.v3"
)

// Map is a YAML mapping in a document. It tracks which keys were looked up.
type Map struct {
	document  *Document
	path      string
	present   bool
	keys      []string
	values    map[string]entry
	requested []string
}

type entry struct {
	line      int
	value     *yaml.Node
	requested bool
}

func (d *Document) newMap(node *yaml.Node, path string, line int) *Map {
	m := &Map{document: d, path: path, values: map[string]entry{}}
	d.maps = append(d.maps, m)
	if node == nil {
		return m
	}
	d.lines[path] = line
	if node.Kind != yaml.MappingNode {
		d.addAtLine(node.Line, path, "found "+describeNode(node), "a mapping of keys to values")
		return m
	}
	m.present = true
	for i := 0; i+1 < len(node.Content); i += 2 {
		m.addEntry(node.Content[i], node.Content[i+1])
	}
	return m
}

func (m *Map) addEntry(key, value *yaml.Node) {
	if key.Kind != yaml.ScalarNode {
		m.document.addAtLine(key.Line, m.path, "a key is "+describeNode(key), "a name")
		return
	}
	if first, ok := m.values[key.Value]; ok {
		m.document.addAtLine(key.Line, m.pathOf(key.Value), fmt.Sprintf("duplicate key, first set at line %d", first.line), "each key once")
		return
	}
	m.values[key.Value] = entry{line: key.Line, value: value}
	m.keys = append(m.keys, key.Value)
}

// Present reports whether the document contains the mapping.
func (m *Map) Present() bool { return m.present }

// Map returns the mapping at a key. It is empty if the key is absent.
func (m *Map) Map(key string) *Map {
	e, ok := m.lookUp(key)
	if !ok {
		return m.document.newMap(nil, m.pathOf(key), 0)
	}
	return m.document.newMap(e.value, m.pathOf(key), e.line)
}

// List returns the mappings of the list at a key, or nil if the key is absent.
func (m *Map) List(key string) []*Map {
	e, ok := m.lookUp(key)
	if !ok {
		return nil
	}
	path := m.pathOf(key)
	if e.value.Kind != yaml.SequenceNode {
		m.document.addAtLine(e.value.Line, path, "found "+describeNode(e.value), "a list of mappings")
		return nil
	}
	items := make([]*Map, len(e.value.Content))
	for i, node := range e.value.Content {
		items[i] = m.document.newMap(node, fmt.Sprintf("%s[%d]", path, i), node.Line)
	}
	return items
}

// Optional decodes the value at a key into target. If the key is absent or its
// value is not accepted, target keeps its default.
func Optional[T any](m *Map, key string, target *T, format Format[T]) {
	if e, ok := m.lookUp(key); ok {
		decodeValue(m, key, e, target, format)
	}
}

// Required is like [Optional], but adds a fault if the key is absent.
func Required[T any](m *Map, key string, target *T, format Format[T]) {
	e, ok := m.lookUp(key)
	if !ok {
		m.addMissingKey(key, format.Accepted)
		return
	}
	decodeValue(m, key, e, target, format)
}

// RequiredList decodes a list of values into target. It adds a fault if the
// list is absent or empty.
func RequiredList[T any](m *Map, key string, target *[]T, format Format[T]) {
	accepted := "a list of " + format.Accepted
	e, ok := m.lookUp(key)
	if !ok {
		m.addMissingKey(key, accepted)
		return
	}
	if e.value.Kind != yaml.SequenceNode || len(e.value.Content) == 0 {
		m.document.addAtLine(e.value.Line, m.pathOf(key), "the value is not a list with at least one entry", accepted)
		return
	}
	for i, node := range e.value.Content {
		value, err := format.parse(node)
		if err != nil {
			m.document.addAtLine(node.Line, fmt.Sprintf("%s[%d]", m.pathOf(key), i), err.Error(), format.Accepted)
			continue
		}
		*target = append(*target, value)
	}
}

func decodeValue[T any](m *Map, key string, e entry, target *T, format Format[T]) {
	value, err := format.parse(e.value)
	if err != nil {
		m.document.addAtLine(e.value.Line, m.pathOf(key), err.Error(), format.Accepted)
		return
	}
	*target = value
}

// lookUp returns the entry of a key and marks the key as known, so that
// addUnknownKeys does not report it.
func (m *Map) lookUp(key string) (entry, bool) {
	m.requested = append(m.requested, key)
	e, ok := m.values[key]
	if ok {
		e.requested = true
		m.values[key] = e
		m.document.lines[m.pathOf(key)] = e.line
	}
	return e, ok
}

func (m *Map) addMissingKey(key, accepted string) {
	if path := m.pathOf(key); !m.document.HasFault(path) {
		m.document.Add(path, "the key is missing", accepted)
	}
}

func (m *Map) addUnknownKeys() {
	for _, key := range m.keys {
		if e := m.values[key]; !e.requested {
			m.document.addAtLine(e.line, m.pathOf(key), "unknown key", strings.Join(m.requested, ", "))
		}
	}
}

// pathOf returns the path of a key from the root of the document.
func (m *Map) pathOf(key string) string {
	if m.path == "" {
		return key
	}
	return m.path + "." + key
}

func describeNode(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	if n.Tag == tagNull {
		return "no value"
	}
	return fmt.Sprintf("%q", n.Value)
}
