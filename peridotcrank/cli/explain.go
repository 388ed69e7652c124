package cli

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
)

type explainCommand struct {
	app  *app
	in   io.Reader // Nil for standard input.
	Args struct {
		ID string `positional-arg-name:"ID" required:"yes" description:"Id of a job, a worker or a VM"`
	} `positional-args:"yes"`
}

// logLine is a line of a process's log.
type logLine struct {
	Process  string `json:"process"`
	Event    string `json:"event"`
	Level    string `json:"level"`
	Time     string `json:"time"`
	Logical  string `json:"logical_time"`
	Sequence uint64 `json:"sequence"`

	logical uint64
	fields  map[string]any
}

const (
	// fieldPrefix marks the fields of an event in a log line.
	fieldPrefix = "field."
	// maxLineBytes bounds a line of a log.
	maxLineBytes = 1 << 20
)

var errNoLines = errors.New("no line of the log names it")

// Execute prints what the logs of all processes, joined on standard input in
// any order, say of one id: the lines that name it, and what became of the
// shards and workers that these lines name while they were about it.
func (c *explainCommand) Execute([]string) error {
	in := c.in
	if in == nil {
		in = os.Stdin
	}
	all, err := readLog(in)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	story := storyOf(all, c.Args.ID)
	if len(story) == 0 {
		return fmt.Errorf("%s: %w", c.Args.ID, errNoLines)
	}
	return c.app.print(toEntries(story), func(t *table) {
		for _, l := range story {
			t.line(fmt.Sprintf("%s  %-20s %-22s %s", l.Time, l.Process, l.Event, l.details()))
		}
	})
}

// readLog reads the JSON lines among all lines. What stands before a line's
// opening brace, such as the name of a file, is left out.
func readLog(in io.Reader) (all []logLine, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		brace := bytes.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		var l logLine
		var raw map[string]any
		if json.Unmarshal(text[brace:], &l) != nil || json.Unmarshal(text[brace:], &raw) != nil || l.Event == "" {
			continue // Another program's line.
		}
		if l.logical, err = strconv.ParseUint(l.Logical, 10, 64); err != nil {
			continue
		}
		l.fields = map[string]any{}
		for key, value := range raw {
			if name, ok := strings.CutPrefix(key, fieldPrefix); ok {
				l.fields[name] = value
			}
		}
		all = append(all, l)
	}
	slices.SortStableFunc(all, func(a, b logLine) int {
		return cmp.Or(cmp.Compare(a.logical, b.logical), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	return all, scanner.Err()
}

// surroundings are events of shards and workers that explain what happens to a job.
var surroundings = map[string]string{
	"shard-acquired": "shard", "shard-loaded": "shard", "shard-lost": "shard", "shard-released": "shard",
	"worker-gone": "worker", "worker-reborn": "worker", "worker-unreachable": "worker", "worker-lease-passed": "worker",
}

func storyOf(all []logLine, id string) (story []logLine) {
	related := map[string]bool{}
	var first, last uint64
	for _, l := range all {
		if !l.names(id) {
			continue
		}
		if first == 0 {
			first = l.logical
		}
		last = l.logical
		l.relate(related)
	}
	for _, l := range all {
		field, around := surroundings[l.Event]
		value, _ := l.fields[field].(string)
		if l.names(id) || around && related[value] && l.logical >= first && l.logical <= last {
			story = append(story, l)
		}
	}
	return story
}

// names reports whether a field of the line holds the id, alone or as a part.
func (l *logLine) names(id string) bool {
	for _, value := range l.fields {
		if text, ok := value.(string); ok && strings.Contains(text, id) {
			return true
		}
	}
	return false
}

// relate notes the shard and the workers that the line names. Workers of started
// tasks stand behind an @.
func (l *logLine) relate(related map[string]bool) {
	for _, name := range []string{"shard", "worker"} {
		if value, ok := l.fields[name].(string); ok {
			related[value] = true
		}
	}
	tasks, _ := l.fields["tasks"].(string)
	for _, task := range strings.Fields(tasks) {
		if _, worker, ok := strings.Cut(task, "@"); ok {
			related[worker] = true
		}
	}
}

func (l *logLine) details() string {
	var parts []string
	for name, value := range l.fields {
		parts = append(parts, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// explainEntry is a line of the story in JSON.
type explainEntry struct {
	Time    string         `json:"time"`
	Process string         `json:"process"`
	Event   string         `json:"event"`
	Level   string         `json:"level"`
	Fields  map[string]any `json:"fields"`
}

func toEntries(story []logLine) []explainEntry {
	entries := make([]explainEntry, len(story))
	for i, l := range story {
		entries[i] = explainEntry{l.Time, l.Process, l.Event, l.Level, l.fields}
	}
	return entries
}
