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

// MaxDocumentBytes is the maximum size of a document.
const MaxDocumentBytes = 1 << 20

// Document is a file that is being decoded. It collects the faults of the file.
type Document struct {
	file   string
	lines  map[string]int // Line number of each path that was looked up.
	maps   []*Map
	faults Faults
}

// Parse returns the document and its top-level mapping. If the file cannot be
// parsed, the mapping is empty and Finish returns the reason.
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
		d.addSyntaxFault(err)
		return nil
	}
	if err := decoder.Decode(&second); err == nil {
		d.addAtLine(second.Line, "", "a second YAML document begins", "one document per file")
	} else if !errors.Is(err, io.EOF) {
		d.addSyntaxFault(err)
	}
	if len(document.Content) != 1 {
		return nil
	}
	return document.Content[0]
}

var syntaxLine = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)

func (d *Document) addSyntaxFault(err error) {
	if m := syntaxLine.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1])
		d.addAtLine(line, "", m[2], "valid YAML")
		return
	}
	d.Add("", err.Error(), "valid YAML")
}

// Add adds a fault at the line of a path, or at that of its nearest ancestor
// that is present in the file.
func (d *Document) Add(path, problem, accepted string) {
	d.addAtLine(d.lineOf(path), path, problem, accepted)
}

// HasFault reports whether a fault was found at a path, in an entry of its list
// or at an ancestor. A check of such a value would only repeat the fault.
func (d *Document) HasFault(path string) bool {
	return slices.ContainsFunc(d.faults, func(f Fault) bool {
		return f.Path != "" && (f.Path == path || isInside(f.Path, path) || strings.HasPrefix(f.Path, path+"["))
	})
}

// isInside reports whether path is inside the mapping or list at top.
func isInside(top, path string) bool {
	return strings.HasPrefix(path, top+".") || strings.HasPrefix(path, top+"[")
}

func (d *Document) addAtLine(line int, path, problem, accepted string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Path: path, Problem: problem, Accepted: accepted})
}

func (d *Document) lineOf(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		if path == "" {
			return 0
		}
		path = parentPath(path)
	}
}

// Finish adds a fault for each key that was never looked up, and returns all
// faults, or nil. Call it after all keys have been decoded.
func (d *Document) Finish() error {
	for _, m := range d.maps {
		m.addUnknownKeys()
	}
	if len(d.faults) == 0 {
		return nil
	}
	d.faults.sort()
	return d.faults
}

func parentPath(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
