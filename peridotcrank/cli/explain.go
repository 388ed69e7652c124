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
	"time"

	"peridotcrank.dev/eventlog"
)

type explainCommand struct {
	app  *app
	in   io.Reader // Nil for standard input.
	Args struct {
		ID string `positional-arg-name:"ID" required:"yes" description:"Id of a job, a worker or a VM"`
	} `positional-args:"yes"`
}

// logLine is a line of the log of a process.
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
	// fieldPrefix is the prefix of the keys of event fields in a log line.
	fieldPrefix = "field."
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

var errNoLines = errors.New("the logs contain no event for this id")

// Execute reads the logs of all processes from standard input, in any order, and
// prints the events of one id: the lines that contain the id, and the events of
// related shards, workers, workspaces and owners between the first and the last of these
// lines. Tasks that were started more than once follow, with the reason for each start, and
// shards with two owner objects under one fence.
func (c *explainCommand) Execute([]string) error {
	in := c.in
	if in == nil {
		in = os.Stdin
	}
	lines, err := readLog(in)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	relevant := relevantLines(lines, c.Args.ID)
	if len(relevant) == 0 {
		return fmt.Errorf("%s: %w", c.Args.ID, errNoLines)
	}
	return c.app.print(toEntries(relevant), func(t *table) {
		for _, l := range relevant {
			t.line(fmt.Sprintf("%s  %-20s %-22s %s", l.Time, l.Process, l.Event, l.details()))
		}
		for _, text := range append(repeatedStarts(relevant), repeatedOwnerships(relevant)...) {
			t.line(text)
		}
	})
}

// readLog parses the JSON log lines of the input and sorts them by logical time.
// It ignores the text before the opening brace of a line, such as the name of a
// file, and skips lines that are not log lines of peridotcrank.
func readLog(in io.Reader) (lines []logLine, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		brace := bytes.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		var l logLine
		raw, rawErr := readObject(text[brace:])
		if json.Unmarshal(text[brace:], &l) != nil || rawErr != nil || l.Event == "" {
			continue // A line of another program.
		}
		if l.logical, err = strconv.ParseUint(l.Logical, 10, 64); err != nil {
			continue
		}
		l.fields = map[string]any{}
		for key, value := range raw {
			if name, ok := strings.CutPrefix(key, fieldPrefix); ok {
				l.fields[name] = exactNumber(value)
			}
		}
		lines = append(lines, l)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int {
		return cmp.Or(cmp.Compare(a.logical, b.logical), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	return lines, scanner.Err()
}

// readObject decodes a JSON object with numbers as they are written.
func readObject(text []byte) (object map[string]any, err error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	err = decoder.Decode(&object)
	return object, err
}

// exactNumber returns an integer as an int64, since a float64 would round large ones, and any other value as it is.
func exactNumber(value any) any {
	if number, ok := value.(json.Number); ok {
		if integer, err := number.Int64(); err == nil {
			return integer
		}
	}
	return value
}

// contextEvents maps events of shards, workers and workspaces that affect jobs to the
// field that contains the shard, the worker or the workspace.
var contextEvents = map[string]string{
	"shard-acquired": "shard", "shard-loaded": "shard", "shard-lost": "shard", "shard-released": "shard", "shard-handed-over": "shard",
	"head-claimed": "shard", "commit-found": "shard", "starts-limited": "shard",
	"worker-gone": "worker", "worker-reborn": "worker", "worker-unreachable": "worker", "worker-lease-passed": "worker",
	"run-removed": "worker", "ends-missing": "worker", "worker-over-capacity": "worker", "worker-wait-expired": "worker", "worker-joined": "worker",
	"status-dropped": "worker", "ends-forgotten": "worker", "order-not-sent": "worker",
	"cap-reached": "workspace", "cap-need-unmet": "workspace", "cap-row-unreadable": "workspace",
}

// ownerEvents are events of a process that affect the jobs of its shards.
var ownerEvents = map[string]bool{
	"process-started": true, "process-stopping": true, "process-paused": true, "renewal-failed": true, "renewal-restored": true,
	"store-through-peer": true, "store-own-way": true,
}

// lastingEvents are context events with an effect on later jobs: the owner of a shard, and the
// incarnation of a worker, which calls for the former one may reach.
var lastingEvents = map[string]bool{"shard-acquired": true, "head-claimed": true, "shard-loaded": true, "worker-reborn": true}

// lastingTime is how long before the first line of an id lasting events are printed. It
// covers the longest delay of an order to a worker.
const lastingTime = 15 * time.Second

// span is what the lines that contain an id relate to.
type span struct {
	first, last uint64          // Logical times of the first and the last of these lines.
	related     map[string]bool // Shards, workers and workspaces.
	owners      map[string]bool // Processes that started tasks.
}

func relevantLines(lines []logLine, id string) (relevant []logLine) {
	s := span{related: map[string]bool{}, owners: map[string]bool{}}
	for _, l := range lines {
		if l.mentions(id) {
			s.add(l)
		}
	}
	for _, l := range lines {
		if l.mentions(id) || s.includes(l) {
			relevant = append(relevant, l)
		}
	}
	return relevant
}

func (s *span) add(l logLine) {
	if s.first == 0 {
		s.first = l.logical
	}
	s.last = l.logical
	l.addRelated(s.related)
	if l.Event == "tasks-started" {
		s.owners[l.Process] = true
	}
}

// includes reports whether a line without the id explains what happened to it.
func (s *span) includes(l logLine) bool {
	if l.showsRepeatedOwnership() && s.related[l.text("shard")] {
		return true // It affects all later jobs of the shard, and may show only afterwards.
	}
	if l.logical > s.last || l.logical < s.first && !(lastingEvents[l.Event] && s.first-l.logical <= eventlog.Pack(time.UnixMilli(lastingTime.Milliseconds()), 0)) {
		return false
	}
	if l.Event == "ends-stored" {
		return s.namesRelated(l.text("numbers")) || s.namesRelated(l.text("unanswered_acks")) || s.namesRelated(l.text("unstored_ends"))
	}
	if l.Event == "run-removed" && l.text("reason") == "never-began" {
		return false // Normal for an unanswered start, and of another job.
	}
	field, isContext := contextEvents[l.Event]
	return isContext && s.related[l.text(field)] || ownerEvents[l.Event] && s.owners[l.Process]
}

// namesRelated reports whether a list of WORKER:NUMBER names a related worker.
func (s *span) namesRelated(list string) bool {
	return slices.ContainsFunc(strings.Fields(list), func(entry string) bool {
		colon := strings.LastIndexByte(entry, ':')
		return colon > 0 && s.related[entry[:colon]]
	})
}

// text returns a field that is a text, or "".
func (l *logLine) text(field string) string {
	value, _ := l.fields[field].(string)
	return value
}

// mentions reports whether a field of the line contains the id, alone or as a part.
func (l *logLine) mentions(id string) bool {
	for _, value := range l.fields {
		if text, ok := value.(string); ok && strings.Contains(text, id) {
			return true
		}
	}
	return false
}

// addRelated adds the shard, the workspace and the workers of the line to related. In the field
// tasks, the worker of each started task follows an @.
func (l *logLine) addRelated(related map[string]bool) {
	for _, name := range []string{"shard", "worker", "workspace"} {
		if value := l.text(name); value != "" {
			related[value] = true
		}
	}
	for _, task := range strings.Fields(l.text("tasks")) {
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

// explainEntry is an event in the JSON output.
type explainEntry struct {
	Time    string         `json:"time"`
	Process string         `json:"process"`
	Event   string         `json:"event"`
	Level   string         `json:"level"`
	Fields  map[string]any `json:"fields"`
}

func toEntries(relevant []logLine) []explainEntry {
	entries := make([]explainEntry, len(relevant))
	for i, l := range relevant {
		entries[i] = explainEntry{l.Time, l.Process, l.Event, l.Level, l.fields}
	}
	return entries
}
