package cli

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ownership is what one owner object of a shard acts under.
type ownership struct {
	shard, process string
	fence          int64
}

// showsRepeatedOwnership reports whether a line shows by itself that two owner objects of a shard have
// had the same fence.
func (l *logLine) showsRepeatedOwnership() bool {
	switch l.Event {
	case "shard-acquired":
		previous, ok := l.fields["previous_fence"].(int64)
		return ok && previous == l.fields["fence"]
	case "shard-lost":
		return l.text("owner") != "" && l.text("owner") == l.text("head_owner")
	}
	return false
}

// repeatedOwnerships returns a line for each ownership of a shard with more than one owner object.
func repeatedOwnerships(lines []logLine) (texts []string) {
	acquisitions := map[ownership]map[int64]bool{}
	for _, l := range lines {
		fence, hasFence := l.fields["fence"].(int64)
		number, hasNumber := l.fields["acquisition"].(int64)
		if l.text("shard") == "" || !hasFence || !hasNumber {
			continue
		}
		o := ownership{l.text("shard"), l.Process, fence}
		if acquisitions[o] == nil {
			acquisitions[o] = map[int64]bool{}
		}
		acquisitions[o][number] = true
		if l.Event == "shard-acquired" && l.showsRepeatedOwnership() {
			acquisitions[o][number-1] = true
		}
	}
	for _, o := range slices.SortedFunc(maps.Keys(acquisitions), compareOwnerships) {
		if numbers := acquisitions[o]; len(numbers) > 1 {
			texts = append(texts, fmt.Sprintf("%s had %d owner objects in %s with fence %v: acquisitions %s",
				o.shard, len(numbers), o.process, o.fence, strings.Trim(fmt.Sprint(slices.Sorted(maps.Keys(numbers))), "[]")))
		}
	}
	return texts
}

func compareOwnerships(a, b ownership) int {
	return cmp.Or(cmp.Compare(a.shard, b.shard), cmp.Compare(a.process, b.process), cmp.Compare(a.fence, b.fence))
}
