// Cases-2 plays the scripted cases of a review against the project's own processes. Its stand-ins of the store, the
// workers and the clients behave as the users' pages say.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// notRun is the panic value of a case that could not run.
type notRun string

func fail(format string, args ...any) { panic(notRun(fmt.Sprintf(format, args...))) }

// play is what a case gets.
type play struct {
	root    string // Folder of the repository.
	trouble bool   // False if the case runs without its disruption.
	record  *record
}

var cases = map[string]func(*play) (broken []string){
	"moved-route":  movedRoute,
	"waiting":      waitingCount,
	"late-starts":  lateStarts,
	"pending-move": pendingMove,
	"next-life":    nextLife,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-2 CASE REPOSITORY FOLDER")
		os.Exit(exitNotRun)
	}
	// The processes end with the thread that started them, which is this one.
	runtime.LockOSThread()
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, root, folder string) (code int) {
	p := &play{root: root, trouble: os.Getenv("TROUBLE") != "0", record: newRecord(filepath.Join(folder, "record.txt"))}
	defer func() {
		if reason, ok := recover().(notRun); ok {
			p.record.say("the case could not run: %s", string(reason))
			code = exitNotRun
		}
	}()
	p.record.line("case %s, disruption: %v", name, p.trouble)
	broken := cases[name](p)
	for _, b := range broken {
		p.record.say("broken: %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	p.record.say("the rule held")
	return exitHeld
}
