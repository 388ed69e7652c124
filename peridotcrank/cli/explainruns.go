package cli

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// startedRun is a start of a task that a line tasks-started names.
type startedRun struct {
	line        logLine
	run, worker string
	former      string // The former run, why it no longer counts and what has shown it, if its owner told.
}

// repeatedStarts returns, for each task that was started more than once, a line with the task
// and one with each start and its reason.
func repeatedStarts(lines []logLine) (texts []string) {
	starts, e := map[string][]startedRun{}, newEvidence()
	for _, l := range lines {
		switch l.Event {
		case "tasks-started":
			if l.fields["workers_replied"] != nil {
				e.accounted[ownerOf(l)] = l
			}
			for _, entry := range strings.Fields(l.text("tasks")) {
				index, rest, _ := strings.Cut(entry, "/")
				run, worker, _ := strings.Cut(rest, "@")
				task := l.text("step") + "." + index
				starts[task] = append(starts[task], startedRun{line: l, run: run, worker: worker})
			}
		case "tasks-restarted":
			noteFormerRuns(starts, l)
		case "task-failed", "start-refused":
			e.ends[fmt.Sprintf("%s/%v", l.text("task"), l.fields["run"])] = l.Event + l.incarnations()
		case "start-unanswered":
			e.unanswered[fmt.Sprintf("%s/%v", l.text("task"), l.fields["run"])] = l
		case "stop-ordered", "end-ignored":
			if strings.HasPrefix(l.text("reason"), "unknown-") {
				run := fmt.Sprintf("%s/%v", l.text("task"), l.fields["run"])
				e.unknown[run] = append(e.unknown[run], l)
			}
		case "worker-joined":
			e.joined[l.Process+" "+l.text("worker")] = l
		}
	}
	for _, task := range slices.Sorted(maps.Keys(starts)) {
		if len(starts[task]) > 1 {
			texts = append(texts, e.describeStarts(task, starts[task])...)
		}
	}
	return texts
}

// evidence is what the lines tell about why a run no longer counts.
type evidence struct {
	ends   map[string]string  // Events that ended a run, by TASK/RUN.
	joined map[string]logLine // First replies of workers to their owners, by process and worker.
	// unknown are the lines of owners that did not know a run, by TASK/RUN.
	unknown map[string][]logLine
	// unanswered are the lines of starts without an answer, by TASK/RUN.
	unanswered map[string]logLine
	accounted  map[string]logLine // Starts that name the workers from which their owner had not heard, by owner.
}

func newEvidence() evidence {
	return evidence{
		ends: map[string]string{}, joined: map[string]logLine{}, unknown: map[string][]logLine{},
		unanswered: map[string]logLine{}, accounted: map[string]logLine{},
	}
}

// ownerOf names the owner that has recorded a line.
func ownerOf(l logLine) string { return fmt.Sprintf("%s/%v", l.Process, l.fields["fence"]) }

// incarnations returns the incarnation that a line names, and the one that has answered in its place.
func (l logLine) incarnations() string {
	born, answered := l.fields["born"], l.fields["answered_born"]
	switch {
	case born == nil:
		return ""
	case answered == nil:
		return fmt.Sprintf(" (born %v)", born)
	}
	return fmt.Sprintf(" (meant for born %v, born %v answered)", born, answered)
}

// formerProofs returns what has shown that former runs have ended, by the index of their task. An entry is
// INDEX,INDEX...:BORN:AGE, and may have details after a further colon.
func formerProofs(l logLine) map[string]string {
	proofs := map[string]string{}
	for _, entry := range strings.Fields(l.text("proofs")) {
		parts := strings.SplitN(entry, ":", 4)
		if len(parts) < 3 {
			continue
		}
		text := fmt.Sprintf(", born %s, given up %s before", parts[1], parts[2])
		if len(parts) == 4 {
			text += ": " + strings.ReplaceAll(parts[3], ",", " ")
		}
		for _, index := range strings.Split(parts[0], ",") {
			proofs[index] = text
		}
	}
	return proofs
}

// noteFormerRuns adds the former runs that a line tasks-restarted names to the starts of the
// line before it.
func noteFormerRuns(starts map[string][]startedRun, l logLine) {
	proofs := formerProofs(l)
	for _, entry := range strings.Fields(l.text("former")) {
		index, former, _ := strings.Cut(entry, "/")
		if runs := starts[l.text("step")+"."+index]; len(runs) > 0 {
			runs[len(runs)-1].former = former + proofs[index]
		}
	}
}

func (e evidence) describeStarts(task string, runs []startedRun) []string {
	texts := []string{fmt.Sprintf("%s was started %d times:", task, len(runs))}
	for i, r := range runs {
		text := fmt.Sprintf("  run %s on %s by %s, fence %v, at %s", r.run, r.worker, r.line.Process, r.line.fields["fence"], r.line.Time)
		if i > 0 {
			text += ": " + e.reasonOfStart(task, runs[i-1], r)
		}
		texts = append(texts, text)
		if l, ok := e.unanswered[task+"/"+r.run]; ok {
			texts = append(texts, fmt.Sprintf("    %s%s by %s at %s", l.Event, l.incarnations(), l.Process, l.Time))
		}
		for _, l := range e.unknown[task+"/"+r.run] {
			texts = append(texts, fmt.Sprintf("    %s (%s) by %s, fence %v, acquisition %v, at %s", l.Event, l.text("reason"), l.Process, l.fields["fence"], l.fields["acquisition"], l.Time))
		}
	}
	return texts
}

// reasonOfStart says why a task was started although it had a former start.
func (e evidence) reasonOfStart(task string, former, next startedRun) string {
	if next.former != "" {
		return "run " + next.former
	}
	if end := e.ends[task+"/"+former.run]; end != "" {
		return "run " + former.run + " " + end
	}
	before, after := fmt.Sprint(former.line.fields["fence"]), fmt.Sprint(next.line.fields["fence"])
	if before == after {
		if a, b := former.line.fields["acquisition"], next.line.fields["acquisition"]; a != b && former.line.Process == next.line.Process {
			return fmt.Sprintf("another owner object with the same fence (acquisition %v after %v)", b, a)
		}
		return "no line gives a reason"
	}
	text := fmt.Sprintf("another owner, which knew of no run (fence %s after %s); to it, %s ", after, before, former.worker)
	joined, ok := e.joined[next.line.Process+" "+former.worker]
	if !ok || joined.logical > next.line.logical || joined.logical < former.line.logical {
		return text + "had not replied" + waitedLease(e.accounted[ownerOf(next.line)], former.worker)
	}
	return text + fmt.Sprintf("replied with born=%v first_end=%v runs_listed=%v", joined.fields["born"], joined.fields["first_end"], joined.fields["runs_listed"])
}

// waitedLease says for which lease an owner has waited before it started tasks of a job, if its line names the worker.
func waitedLease(start logLine, worker string) string {
	for _, entry := range strings.Fields(start.text("waited_for")) {
		name, lease, _ := strings.Cut(entry, ":")
		if id, born, _ := strings.Cut(name, "/"); id == worker {
			return fmt.Sprintf(" (born %s, lease of %s waited for; owner for %s)", born, lease, start.text("owned_for"))
		}
	}
	return ""
}
