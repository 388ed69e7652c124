package cli

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/admin/admintest"
	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/settings"
)

// session runs commands against a server and records their output.
type session struct {
	t          *testing.T
	backend    *admintest.Backend
	address    string
	tokenFile  string
	transcript strings.Builder
}

func newSession(t *testing.T) *session {
	t.Helper()
	s := &session{t: t, backend: admintest.New(), tokenFile: t.TempDir() + "/token"}
	s.address = s.start("entry-1", s.backend)
	assert.NilError(t, os.WriteFile(s.tokenFile, []byte("token\n"), 0o600))
	return s
}

func (s *session) start(process fleet.MemberID, backend admin.Backend) (address string) {
	handler, err := admin.NewServer(admin.Options{Process: process, Backend: backend, Operators: []settings.Operator{
		{Name: "cy", TokenSHA256: sha256.Sum256([]byte("token")), Roles: []settings.Role{settings.RoleAdmin}}}})
	assert.NilError(s.t, err)
	server := httptest.NewServer(handler)
	s.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// run runs a command line and returns its exit code.
func (s *session) run(line string) int {
	var out, errOut bytes.Buffer
	args := append(strings.Fields(line), "--server", "http://"+s.address, "--token-file", s.tokenFile)
	code := run(args, Commands{}, &out, &errOut)
	fmt.Fprintf(&s.transcript, "$ peridotcrank %s\n%s", line, out.String())
	if errOut.Len() > 0 {
		fmt.Fprintf(&s.transcript, "-- standard error\n%s", errOut.String())
	}
	fmt.Fprintf(&s.transcript, "-- exit %d\n\n", code)
	return code
}

func (s *session) assertGolden(name string) {
	s.t.Helper()
	text := strings.ReplaceAll(s.transcript.String(), s.address, "SERVER")
	golden.Assert(s.t, text, name)
}

var readCommands = []string{
	"intent list", "plan list", "plan list --state done", "plan show plan-1", "pool list", "vm list", "vm list --phase draining --pool webshop",
	"config get", "config status", "member list",
}

var writeCommands = []string{
	"intent create pool-capacity webshop 3 --request-id r1", "intent create empty-rack rack-1 --request-id r2",
	"intent create configure testdata/service.yaml --request-id r3",
	"plan create intent-1 --request-id r4", "plan confirm plan-1 --request-id r5", "plan reject plan-1 --reason wide --request-id r6",
	"plan cancel plan-1 --reason wide --request-id r7", "config set testdata/services.yaml --base 7 --request-id r8", "config set testdata/services.yaml",
}

// Guards against changes of the text and JSON output of operator commands, which
// operators and their scripts read.
func TestOperatorCommands(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		s := newSession(t)
		for _, line := range append(readCommands, writeCommands...) {
			assert.Equal(t, s.run(line+" --output "+format), ExitOK, "%s\n%s", line, s.transcript.String())
		}
		s.assertGolden("session." + format)
	}
}

// Guards against errors that scripts cannot distinguish by their exit code, and
// against messages that do not tell the operator what to do.
func TestErrors(t *testing.T) {
	s := newSession(t)
	assert.Equal(t, s.run("plan show plan-77"), ExitNotFound)
	assert.Equal(t, s.run("config set testdata/services.yaml --base 6"), ExitConflict)
	assert.Equal(t, s.run("config set testdata/services.yaml --base 6 --output json"), ExitConflict)
	assert.Equal(t, s.run("config set testdata/services.yaml --request-id r1"), ExitInvalid)
	assert.Equal(t, s.run("config set testdata/faulty.yaml"), ExitInvalid)
	assert.Equal(t, s.run("intent create configure testdata/services.yaml"), ExitInvalid)
	assert.Equal(t, s.run("intent create pool-capacity webshop"), ExitInvalid)
	assert.Equal(t, s.run("intent create pool-capacity webshop many"), ExitInvalid)
	assert.Equal(t, s.run("plan confirm plan-1 plan-2"), ExitInvalid)
	assert.Equal(t, s.run("plan confirm plan-1 --request-id a/b"), ExitInvalid)
	assert.Equal(t, s.run("plan list --state open"), ExitInvalid)
	assert.Equal(t, s.run("plan"), ExitInvalid)
	assert.Equal(t, s.run("plans"), ExitInvalid)
	assert.Equal(t, s.run("config status --require-in-force"), ExitIncomplete)
	s.backend.Err = errors.New("lost")
	assert.Equal(t, s.run("pool list"), ExitFault)
	assert.Equal(t, s.run("plan create intent-1 --request-id r9"), ExitUnknown)
	assert.Equal(t, s.run("config set testdata/services.yaml --base 7 --request-id r10"), ExitUnknown)
	s.backend.Err = &admin.Error{Code: admin.CodeConflict, Step: "confirm", Message: "a precondition changed",
		Conflict: &admin.Conflict{Plan: "plan-8", Step: "move vm-3", Changed: []fleet.RowVersion{{Key: "vm/vm-3", Version: 41}}}}
	assert.Equal(t, s.run("plan create intent-1 --request-id r11"), ExitConflict)
	assert.NilError(t, os.WriteFile(s.tokenFile, []byte("other"), 0o600))
	assert.Equal(t, s.run("pool list"), ExitRefused)
	assert.NilError(t, os.WriteFile(s.tokenFile, nil, 0o600))
	assert.Equal(t, s.run("pool list"), ExitInvalid)
	s.assertGolden("errors.text")
}

// Guards against a watch that does not detect the end of a plan.
func TestPlanWatch(t *testing.T) {
	s := newSession(t)
	plan := &s.backend.PlanList[0]
	plan.State = fleet.PlanDone
	assert.Equal(t, s.run("plan watch plan-1"), ExitOK)
	plan.State, plan.Reason, plan.Driver = fleet.PlanBlocked, "vm-3 does not\x1b[2J answer", "entry-2"
	assert.Equal(t, s.run("plan watch plan-1"), ExitIncomplete)
	assert.Equal(t, s.run("plan watch plan-1 --output json"), ExitIncomplete)
	s.assertGolden("watch.text")
}

// Guards against a timeline that omits a member without an error, or that sorts
// events by process.
func TestTimeline(t *testing.T) {
	s := newSession(t)
	other := admintest.New()
	at := func(ms int, process string, sequence uint64, code eventlog.Code) eventlog.Event {
		d, _ := eventlog.Lookup(code)
		return eventlog.Event{Time: eventlog.Pack(time.UnixMilli(1_796_371_200_000+int64(ms)), 0), Process: process, Sequence: sequence, Code: code, Name: d.Name, Level: d.Level}
	}
	s.backend.Events = []eventlog.Event{at(0, "entry-1", 1, eventlog.ProcessStarted), at(30, "entry-1", 2, eventlog.PlanConfirmed)}
	other.Events = []eventlog.Event{at(10, "entry-2", 1, eventlog.ProcessStarted), at(40, "entry-2", 2, eventlog.PlanLeaseTaken)}
	s.backend.MemberList[0].AdminAddress = s.start("entry-2", other)
	assert.Equal(t, s.run("timeline"), ExitOK)
	assert.Equal(t, s.run("timeline --output json"), ExitOK)
	assert.Equal(t, s.run("timeline --local"), ExitOK)
	assert.Equal(t, s.run(fmt.Sprintf("timeline --after %d", s.backend.Events[1].Time)), ExitOK)
	s.backend.MemberList[0].AdminAddress = "127.0.0.1:1" // Nothing listens there.
	assert.Equal(t, s.run("timeline"), ExitIncomplete)
	s.assertGolden("timeline.text")
}

// Guards against a check that reports only the first fault, and against an entry
// process that starts with faulty settings.
func TestSettingsCommands(t *testing.T) {
	s := newSession(t)
	assert.Equal(t, s.run("check --settings testdata/settings.yaml"), ExitOK)
	assert.Equal(t, s.run("check --settings testdata/faulty.yaml"), ExitInvalid)
	assert.Equal(t, s.run("check"), ExitInvalid)
	assert.Equal(t, s.run("entry --settings testdata/settings.yaml"), ExitFault)
	s.assertGolden("check.text")

	var started []fleet.MemberID
	entry := Commands{Entry: func(s settings.Settings) error {
		started = append(started, s.Member)
		return errors.New("listen: in use")
	}}
	var out bytes.Buffer
	assert.Equal(t, run([]string{"entry", "--settings", "testdata/faulty.yaml"}, entry, &out, &out), ExitInvalid)
	assert.Equal(t, run([]string{"entry", "--settings", "testdata/settings.yaml"}, entry, &out, &out), ExitFault)
	assert.DeepEqual(t, started, []fleet.MemberID{"entry-1"})
}

// Guards against unintended changes of help texts and completion scripts.
func TestHelpAndScripts(t *testing.T) {
	s := newSession(t)
	for _, line := range []string{"--help", "plan --help", "config set --help", "completion bash", "completion zsh", "completion fish"} {
		assert.Equal(t, s.run(line), ExitOK)
	}
	assert.Equal(t, s.run("completion tcsh"), ExitInvalid)
	s.assertGolden("help.text")
}

// Guards against commands, options and values without shell completion.
func TestCompletion(t *testing.T) {
	t.Setenv("GO_FLAGS_COMPLETION", "1")
	for line, want := range map[string]string{
		"pl": "plan", "plan c": "cancel confirm create", "plan list --state ": "blocked cancelled confirmed done proposed rejected",
		"vm list --phase=dra": "--phase=drained --phase=draining", "completion ": "bash fish zsh", "timeline --lo": "--local",
		"config set testdata/serv": "testdata/service.yaml testdata/services.yaml", "pool list --output j": "json",
	} {
		var out bytes.Buffer
		assert.Equal(t, run(strings.Split(line, " "), Commands{}, &out, &out), ExitOK)
		assert.Equal(t, strings.Join(strings.Fields(out.String()), " "), want, line)
	}
}

// Guards against an error code of the API without an exit code, and against exit
// codes that differ from docs/OPERATIONS.md.
func TestExitCodes(t *testing.T) {
	for code := range admin.Statuses() {
		_, ok := exitCodes[code]
		assert.Check(t, ok, "%s has no exit code", code)
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	rows := regexp.MustCompile(`(?m)^\| (\d) \| (.+) \|$`).FindAllStringSubmatch(string(page), -1)
	source, err := os.ReadFile("exit.go")
	assert.NilError(t, err)
	constants := regexp.MustCompile(`(?m)^\tExit\w+ += (\d) // (.+)$`).FindAllStringSubmatch(string(source), -1)
	assert.Equal(t, len(rows), len(constants))
	for i := range rows {
		assert.DeepEqual(t, rows[i][1:], constants[i][1:])
	}
}

// Guards against a repeated change that is carried out twice.
func TestRequestID(t *testing.T) {
	s := newSession(t)
	s.backend.BeforeChange = func(_ context.Context, w admin.Write) { assert.Check(t, admin.ValidID(w.RequestID)) }
	for _, line := range []string{"plan confirm plan-1", "plan confirm plan-1", "plan confirm plan-1 --request-id r", "plan confirm plan-1 --request-id r"} {
		assert.Equal(t, s.run(line), ExitOK)
	}
	assert.Equal(t, len(s.backend.Writes), 3)
}

// Guards against JSON output that is not valid.
func TestJSONIsValid(t *testing.T) {
	s := newSession(t)
	for _, line := range readCommands {
		s.transcript.Reset()
		s.run(line + " --output json")
		_, rest, _ := strings.Cut(s.transcript.String(), "\n")
		body, _, _ := strings.Cut(rest, "-- exit")
		assert.Assert(t, json.Valid([]byte(body)), body)
	}
}
