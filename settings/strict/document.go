package strict

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// MaxDocumentBytes bounds a document.
const MaxDocumentBytes = 1 << 20

// Document collects the faults of one file.
type Document struct {
	file   string
	lines  map[string]int // Line of each path that was read.
	maps   []*Map
	faults Faults
}

// Parse reads the mapping at the top of a file. The map is empty when the file
// cannot be parsed; Finish then reports why.
func Parse(file string, data []byte) (*Document, *Map) {
	d := &Document{file: file, lines: map[string]int{}}
	root := d.parse(data)
	return d, d.newMap(root, "", 1)
}

func (d *Document) parse(data []byte) *yaml.Node {
	if len(data) > MaxDocumentBytes {
		d.Add("", fmt.Sprintf("the file has %d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
		return nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var document, second yaml.Node
	switch err := decoder.Decode(&document); {
	case errors.Is(err, io.EOF):
		d.Add("", "the file is empty", "a mapping of keys to values")
		return nil
	case err != nil:
		d.addSyntax(err)
		return nil
	}
	if err := decoder.Decode(&second); err == nil {
		d.addAt(second.Line, "", "a second YAML document begins", "one document per file")
	} else if !errors.Is(err, io.EOF) {
		d.addSyntax(err)
	}
	if len(document.Content) != 1 {
		return nil
	}
	return document.Content[0]
}

var syntaxLine = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)

func (d *Document) addSyntax(err error) {
	if m := syntaxLine.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1])
		d.addAt(line, "", m[2], "valid YAML")
		return
	}
	d.Add("", err.Error(), "valid YAML")
}

// Add reports a fault at the line of a path, or of the nearest parent that is
// present in the file.
func (d *Document) Add(path, problem, accepted string) {
	d.addAt(d.line(path), path, problem, accepted)
}

// Faulty reports whether a fault was found at a path, in an entry of its list
// or at a parent, so that a check of the value would only repeat it.
func (d *Document) Faulty(path string) bool {
	return slices.ContainsFunc(d.faults, func(f Fault) bool {
		return f.Path != "" && (f.Path == path || below(f.Path, path) || strings.HasPrefix(f.Path, path+"["))
	})
}

// below reports whether path lies inside the mapping or list at top.
func below(top, path string) bool {
	return strings.HasPrefix(path, top+".") || strings.HasPrefix(path, top+"[")
}

func (d *Document) addAt(line int, path, problem, accepted string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Path: path, Problem: problem, Accepted: accepted})
}

func (d *Document) line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		if path == "" {
			return 0
		}
		path = parent(path)
	}
}

// Finish reports keys that nobody asked for and returns all faults.
func (d *Document) Finish() error {
	for _, m := range d.maps {
		m.addUnknown()
	}
	if len(d.faults) == 0 {
		return nil
	}
	d.faults.sort()
	return d.faults
}

func parent(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
