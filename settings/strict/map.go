package strict

import (
	"fmt"
	"strings"

	"gopkg.in/yaml.v3"
)

// Map is a mapping of a document.
type Map struct {
	document *Document
	path     string
	present  bool
	order    []string
	values   map[string]entry
	asked    []string
}

type entry struct {
	line  int
	value *yaml.Node
	asked bool
}

func (d *Document) newMap(node *yaml.Node, path string, line int) *Map {
	m := &Map{document: d, path: path, values: map[string]entry{}}
	d.maps = append(d.maps, m)
	if node == nil {
		return m
	}
	d.lines[path] = line
	if node.Kind != yaml.MappingNode {
		d.addAt(node.Line, path, "found "+describe(node), "a mapping of keys to values")
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
		m.document.addAt(key.Line, m.path, "a key is "+describe(key), "a name")
		return
	}
	if first, ok := m.values[key.Value]; ok {
		m.document.addAt(key.Line, m.join(key.Value), fmt.Sprintf("duplicate key, first set at line %d", first.line), "each key once")
		return
	}
	m.values[key.Value] = entry{line: key.Line, value: value}
	m.order = append(m.order, key.Value)
}

// Present reports whether the file contains the mapping.
func (m *Map) Present() bool { return m.present }

// Map returns the mapping at a key, empty when the key is absent.
func (m *Map) Map(key string) *Map {
	e, ok := m.ask(key)
	if !ok {
		return m.document.newMap(nil, m.join(key), 0)
	}
	return m.document.newMap(e.value, m.join(key), e.line)
}

// List returns the mappings of the list at a key.
func (m *Map) List(key string) []*Map {
	e, ok := m.ask(key)
	if !ok {
		return nil
	}
	path := m.join(key)
	if e.value.Kind != yaml.SequenceNode {
		m.document.addAt(e.value.Line, path, "found "+describe(e.value), "a list of mappings")
		return nil
	}
	items := make([]*Map, len(e.value.Content))
	for i, node := range e.value.Content {
		items[i] = m.document.newMap(node, fmt.Sprintf("%s[%d]", path, i), node.Line)
	}
	return items
}

// Optional reads the value at a key into target, which keeps its default when
// the key is absent or faulty.
func Optional[T any](m *Map, key string, target *T, form Form[T]) {
	if e, ok := m.ask(key); ok {
		read(m, key, e, target, form)
	}
}

// Required is like [Optional] and reports an absent key.
func Required[T any](m *Map, key string, target *T, form Form[T]) {
	e, ok := m.ask(key)
	if !ok {
		m.addMissing(key, form.Accepted)
		return
	}
	read(m, key, e, target, form)
}

// RequiredList reads a list of values, which must be present and not empty.
func RequiredList[T any](m *Map, key string, target *[]T, form Form[T]) {
	accepted := "a list of " + form.Accepted
	e, ok := m.ask(key)
	if !ok {
		m.addMissing(key, accepted)
		return
	}
	if e.value.Kind != yaml.SequenceNode || len(e.value.Content) == 0 {
		m.document.addAt(e.value.Line, m.join(key), "the value is not a list with at least one entry", accepted)
		return
	}
	for i, node := range e.value.Content {
		value, err := form.parse(node)
		if err != nil {
			m.document.addAt(node.Line, fmt.Sprintf("%s[%d]", m.join(key), i), err.Error(), form.Accepted)
			continue
		}
		*target = append(*target, value)
	}
}

func read[T any](m *Map, key string, e entry, target *T, form Form[T]) {
	value, err := form.parse(e.value)
	if err != nil {
		m.document.addAt(e.value.Line, m.join(key), err.Error(), form.Accepted)
		return
	}
	*target = value
}

func (m *Map) ask(key string) (entry, bool) {
	m.asked = append(m.asked, key)
	e, ok := m.values[key]
	if ok {
		e.asked = true
		m.values[key] = e
		m.document.lines[m.join(key)] = e.line
	}
	return e, ok
}

func (m *Map) addMissing(key, accepted string) {
	if path := m.join(key); !m.document.Faulty(path) {
		m.document.Add(path, "the key is missing", accepted)
	}
}

func (m *Map) addUnknown() {
	for _, key := range m.order {
		if e := m.values[key]; !e.asked {
			m.document.addAt(e.line, m.join(key), "unknown key", strings.Join(m.asked, ", "))
		}
	}
}

func (m *Map) join(key string) string {
	if m.path == "" {
		return key
	}
	return m.path + "." + key
}

func describe(n *yaml.Node) string {
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
