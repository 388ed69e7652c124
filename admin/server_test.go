package admin_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/admin/admintest"
	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/settings"
)

var testTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// operators returns operators whose token equals their name. The name is the role,
// except for the administrators "expired" and "expiring" and for "unknown-role".
func operators() []settings.Operator {
	operator := func(token string, role settings.Role, expires time.Time) settings.Operator {
		return settings.Operator{Name: token, TokenSHA256: sha256.Sum256([]byte(token)), Roles: []settings.Role{role}, Expires: expires}
	}
	return []settings.Operator{
		operator("viewer", settings.RoleViewer, time.Time{}),
		operator("operator", settings.RoleOperator, time.Time{}),
		operator("admin", settings.RoleAdmin, time.Time{}),
		operator("expired", settings.RoleAdmin, testTime),
		operator("expiring", settings.RoleAdmin, testTime.Add(time.Second)),
		operator("unknown-role", "owner", time.Time{}),
	}
}

type harness struct {
	t       testing.TB
	backend *admintest.Backend
	server  *admin.Server
	log     *eventlog.Log
}

func newHarness(t testing.TB) *harness {
	t.Helper()
	log, err := eventlog.New(eventlog.Options{Process: "entry-1", Writer: io.Discard})
	assert.NilError(t, err)
	backend := admintest.New()
	server, err := admin.NewServer(admin.Options{Process: "entry-1", Backend: backend, Operators: operators(),
		Recorder: log, Timeout: time.Second, Now: func() time.Time { return testTime }})
	assert.NilError(t, err)
	return &harness{t, backend, server, log}
}

func newRequest(token, method, target, requestID, body string) *http.Request {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	if requestID != "" {
		r.Header.Set(admin.HeaderRequestID, requestID)
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	return r
}

func (h *harness) serve(r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.server.ServeHTTP(w, r)
	return w
}

func (h *harness) request(token, method, target, requestID, body string) *httptest.ResponseRecorder {
	return h.serve(newRequest(token, method, target, requestID, body))
}

func (h *harness) eventCodes() (codes []eventlog.Code) {
	for _, e := range h.log.Timeline(0, 1000) {
		codes = append(codes, e.Code)
	}
	return codes
}

func decodeError(t testing.TB, w *httptest.ResponseRecorder) admin.Error {
	t.Helper()
	var e admin.Error
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &e), "%s", w.Body)
	assert.Equal(t, w.Code, e.Code.Status())
	assert.Assert(t, e.Step != "" && e.Message != "", "%s", w.Body)
	return e
}

// endpoints has one entry per route; TestCredentials fails when one is missing.
var endpoints = []struct {
	method, path, target, body string
	role                       settings.Role
}{
	{"GET", "/v1/intents", "/v1/intents", "", "viewer"},
	{"POST", "/v1/intents", "/v1/intents", `{"kind":"empty-rack","rack":"rack-1"}`, "operator"},
	{"GET", "/v1/plans", "/v1/plans?state=proposed", "", "viewer"},
	{"POST", "/v1/plans", "/v1/plans", `{"intent":"intent-1"}`, "operator"},
	{"GET", "/v1/plans/{id}", "/v1/plans/plan-1", "", "viewer"},
	{"GET", "/v1/plans/{id}/watch", "/v1/plans/plan-1/watch?version=1", "", "viewer"},
	{"POST", "/v1/plans/{id}/confirm", "/v1/plans/plan-1/confirm", "", "operator"},
	{"POST", "/v1/plans/{id}/reject", "/v1/plans/plan-1/reject", `{"reason":"too wide"}`, "operator"},
	{"POST", "/v1/plans/{id}/cancel", "/v1/plans/plan-1/cancel", "", "operator"},
	{"GET", "/v1/pools", "/v1/pools", "", "viewer"},
	{"GET", "/v1/vms", "/v1/vms?pool=webshop", "", "viewer"},
	{"GET", "/v1/config", "/v1/config", "", "viewer"},
	{"PUT", "/v1/config", "/v1/config", configBody, "admin"},
	{"GET", "/v1/config/status", "/v1/config/status", "", "viewer"},
	{"GET", "/v1/members", "/v1/members", "", "viewer"},
	{"GET", "/v1/timeline", "/v1/timeline?after=5", "", "viewer"},
}

const (
	serviceBody = `{"name":"orders","path_prefix":"/orders","pool":"webshop","timeout":2000000000,"max_body_bytes":1024,"max_queue":8,"urgency":0,"availability_target":0.99}`
	configBody  = `{"base":7,"services":[` + serviceBody + `]}`
	configure   = `{"kind":"configure","service":` + serviceBody + `}`
)

// Guards against an endpoint that accepts requests without the required role, and
// against a new route that the table endpoints does not cover.
func TestCredentials(t *testing.T) {
	var covered []admin.Route
	for _, v := range endpoints {
		route := admin.Route{Method: v.method, Path: v.path, Role: v.role}
		covered = append(covered, route)
		t.Run(v.method+" "+v.path, func(t *testing.T) {
			refused := func(status int, change func(*http.Request)) {
				t.Helper()
				h := newHarness(t)
				r := newRequest("admin", v.method, v.target, "request-1", v.body)
				change(r)
				w := h.serve(r)
				assert.Equal(t, w.Code, status, "%s", w.Body)
				assert.Equal(t, decodeError(t, w).Code.Status(), status)
				assert.Equal(t, len(h.backend.Writes), 0)
			}
			header := func(values ...string) func(*http.Request) {
				return func(r *http.Request) { r.Header["Authorization"] = values }
			}
			refused(401, header())
			refused(401, header("Bearer "))
			refused(401, header("admin"))
			refused(401, header("Basic admin"))
			refused(401, header("Bearer wrong"))
			refused(401, header("Bearer Admin"))
			refused(401, header("Bearer expired"))
			refused(401, header("Bearer admin", "Bearer admin"))
			refused(401, header("Bearer "+strings.Repeat("x", admin.MaxTokenBytes+1)))
			refused(403, header("Bearer unknown-role"))
			for _, role := range []settings.Role{"viewer", "operator", "admin"} {
				if !role.Includes(v.role) {
					refused(403, header("Bearer "+string(role)))
				}
			}
			for _, token := range []string{string(v.role), "expiring"} {
				w := newHarness(t).request(token, v.method, v.target, "request-1", v.body)
				assert.Equal(t, w.Code, 200, "%s: %s", token, w.Body)
			}
		})
	}
	assert.DeepEqual(t, admin.Routes(), covered)
}

// Guards against changing the configuration through an intent without the role
// that PUT /v1/config requires.
func TestConfigureIntentNeedsAdmin(t *testing.T) {
	for token, want := range map[string]int{"operator": 403, "admin": 200} {
		h := newHarness(t)
		assert.Equal(t, h.request(token, "POST", "/v1/intents", "r1", configure).Code, want)
		assert.Equal(t, h.request(token, "POST", "/v1/plans/plan-2/confirm", "r2", "").Code, want)
	}
}

// Guards against refusals that displace other events from the timeline, or are not
// recorded at all.
func TestRefusalsAreRecordedAtABoundedRate(t *testing.T) {
	h := newHarness(t)
	for range 50 {
		h.request("wrong", "GET", "/v1/plans", "", "")
		h.request("viewer", "PUT", "/v1/config", "r", configBody)
		h.request("expired", "GET", "/v1/plans", "", "")
	}
	assert.DeepEqual(t, h.eventCodes(), []eventlog.Code{eventlog.AdminTokenExpiring, eventlog.AdminTokenExpiring,
		eventlog.AdminUnauthorized, eventlog.AdminForbidden, eventlog.AdminTokenExpired})
	for _, e := range h.log.Timeline(0, 10) {
		assert.Assert(t, !strings.Contains(fmt.Sprint(e.Fields), "wrong"), "the token is in the timeline")
	}
}

// Guards against accepting malformed requests.
func TestMalformedRequests(t *testing.T) {
	post := func(body string) *http.Request { return newRequest("admin", "POST", "/v1/intents", "r1", body) }
	get := func(target string) *http.Request { return newRequest("admin", "GET", target, "", "") }
	withHeader := func(r *http.Request, name string, values ...string) *http.Request {
		r.Header[name] = values
		return r
	}
	rack := `{"kind":"empty-rack","rack":"r"}`
	for name, c := range map[string]struct {
		request *http.Request
		code    admin.ErrorCode
	}{
		"unknown route":       {get("/v1/nothing"), admin.CodeNotFound},
		"double slash":        {get("/v1//plans"), admin.CodeNotFound},
		"trailing slash":      {get("/v1/plans/"), admin.CodeNotFound},
		"dots":                {get("/v1/plans/../plans"), admin.CodeNotFound},
		"wrong method":        {newRequest("admin", "DELETE", "/v1/plans/plan-1", "r1", ""), admin.CodeMethodNotAllowed},
		"bad id":              {get("/v1/plans/a%20b"), admin.CodeInvalid},
		"unknown plan":        {get("/v1/plans/plan-77"), admin.CodeNotFound},
		"unknown parameter":   {get("/v1/plans?status=done"), admin.CodeInvalid},
		"repeated parameter":  {get("/v1/plans?limit=1&limit=2"), admin.CodeInvalid},
		"limit 0":             {get("/v1/plans?limit=0"), admin.CodeInvalid},
		"limit too large":     {get("/v1/plans?limit=1001"), admin.CodeInvalid},
		"bad query":           {get("/v1/plans?limit=%zz"), admin.CodeInvalid},
		"wait too long":       {get("/v1/plans/plan-1/watch?wait_ms=30001"), admin.CodeInvalid},
		"negative time":       {get("/v1/timeline?after=-1"), admin.CodeInvalid},
		"no Request-Id":       {newRequest("admin", "POST", "/v1/intents", "", rack), admin.CodeInvalid},
		"two Request-Ids":     {withHeader(post(rack), "Request-Id", "a", "b"), admin.CodeInvalid},
		"bad Request-Id":      {withHeader(post(rack), "Request-Id", "a b"), admin.CodeInvalid},
		"form":                {withHeader(post(rack), "Content-Type", "text/plain"), admin.CodeInvalid},
		"empty body":          {post(""), admin.CodeInvalid},
		"not JSON":            {post("{"), admin.CodeInvalid},
		"array":               {post("[]"), admin.CodeInvalid},
		"null":                {post("null"), admin.CodeInvalid},
		"two values":          {post(rack + "{}"), admin.CodeInvalid},
		"unknown key":         {post(`{"kind":"empty-rack","rack":"r","racks":1}`), admin.CodeInvalid},
		"repeated key":        {post(`{"kind":"empty-rack","rack":"r","rack":"s"}`), admin.CodeInvalid},
		"key in two cases":    {post(`{"kind":"empty-rack","rack":"r","RACK":"s"}`), admin.CodeInvalid},
		"folded key":          {post(`{"kind":"pool-capacity","pool":"p","capacity":1,"ſervice":null,"service":null}`), admin.CodeInvalid},
		"wrong type":          {post(`{"kind":"pool-capacity","pool":"p","capacity":"1"}`), admin.CodeInvalid},
		"unknown kind":        {post(`{"kind":"grow"}`), admin.CodeInvalid},
		"capacity missing":    {post(`{"kind":"pool-capacity","pool":"p"}`), admin.CodeInvalid},
		"negative capacity":   {post(`{"kind":"pool-capacity","pool":"p","capacity":-1}`), admin.CodeInvalid},
		"field of other kind": {post(`{"kind":"empty-rack","rack":"r","pool":"p"}`), admin.CodeInvalid},
		"bad rack":            {post(`{"kind":"empty-rack","rack":"a/b"}`), admin.CodeInvalid},
		"bad service":         {post(strings.Replace(configure, `"/orders"`, `"orders"`, 1)), admin.CodeInvalid},
		"too large":           {post(`{"kind":"` + strings.Repeat("x", admin.MaxBodyBytes) + `"}`), admin.CodeTooLarge},
		"long reason":         {newRequest("admin", "POST", "/v1/plans/plan-1/reject", "r1", `{"reason":"`+strings.Repeat("x", 1025)+`"}`), admin.CodeInvalid},
		"body of confirm":     {newRequest("admin", "POST", "/v1/plans/plan-1/confirm", "r1", `{"force":true}`), admin.CodeInvalid},
		"no intent":           {newRequest("admin", "POST", "/v1/plans", "r1", `{}`), admin.CodeInvalid},
		"no service":          {newRequest("admin", "PUT", "/v1/config", "r1", `{"base":7,"services":[]}`), admin.CodeInvalid},
		"old base":            {newRequest("admin", "PUT", "/v1/config", "r1", strings.Replace(configBody, "7", "6", 1)), admin.CodeConflict},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			assert.Equal(t, decodeError(t, h.serve(c.request)).Code, c.code)
			assert.Equal(t, len(h.backend.Writes), 0)
		})
	}
}

// Guards against a deeply nested body that would exhaust the stack of the check.
func TestNestingIsBounded(t *testing.T) {
	w := newHarness(t).request("admin", "POST", "/v1/intents", "r1", `{"kind":`+strings.Repeat("[", 500_000))
	assert.Equal(t, decodeError(t, w).Message, "the body is not valid: more than 16 levels")
}

// Guards against a repeated change that is carried out twice or gets a different
// reply.
func TestRepeatedWrite(t *testing.T) {
	h := newHarness(t)
	first := h.request("operator", "POST", "/v1/plans/plan-1/confirm", "r1", "")
	second := h.request("operator", "POST", "/v1/plans/plan-1/confirm", "r1", "")
	assert.Equal(t, first.Code, 200)
	assert.Equal(t, first.Body.String(), second.Body.String())
	assert.Equal(t, first.Header().Get(admin.HeaderRepeated), "")
	assert.Equal(t, second.Header().Get(admin.HeaderRepeated), "true")
	assert.Equal(t, len(h.backend.Writes), 1)

	assert.Equal(t, decodeError(t, h.request("operator", "POST", "/v1/plans/plan-1/cancel", "r1", "")).Code, admin.CodeRequestIDReused)
	assert.Equal(t, decodeError(t, h.request("operator", "POST", "/v1/plans/plan-1/confirm", "r1", "{}")).Code, admin.CodeRequestIDReused)
	assert.Equal(t, h.request("admin", "POST", "/v1/plans/plan-1/confirm", "r1", "").Code, 200)
	assert.Equal(t, len(h.backend.Writes), 2)
	assert.Assert(t, h.backend.Writes[0].Operation != h.backend.Writes[1].Operation)

	other := newHarness(t)
	other.request("operator", "POST", "/v1/plans/plan-1/confirm", "r1", "")
	assert.DeepEqual(t, other.backend.Writes[0], h.backend.Writes[0])
}

// Guards against running a repeated request concurrently with the first one, and
// against aborting a change because the operator disconnected.
func TestWriteInProgress(t *testing.T) {
	h := newHarness(t)
	ctx, disconnect := context.WithCancel(t.Context())
	h.backend.BeforeChange = func(c context.Context, _ admin.Write) {
		disconnect()
		assert.NilError(t, c.Err())
		inner := h.request("operator", "POST", "/v1/plans/plan-1/confirm", "r1", "")
		assert.Equal(t, decodeError(t, inner).Code, admin.CodeInProgress)
	}
	w := h.serve(newRequest("operator", "POST", "/v1/plans/plan-1/confirm", "r1", "").WithContext(ctx))
	assert.Equal(t, w.Code, 200)
	assert.Equal(t, len(h.backend.Writes), 1)
}

// Guards against backend errors that reveal internals, are reported as a definite
// failure although the change may have taken effect, or are kept as replies to
// repeated requests.
func TestBackendErrors(t *testing.T) {
	secret := errors.New("secret 10.9.0.1")
	for _, c := range []struct {
		err         error
		read, write admin.ErrorCode
		event       eventlog.Code
	}{
		{secret, admin.CodeInternal, admin.CodeOutcomeUnknown, eventlog.AdminWriteUnknown},
		{fmt.Errorf("commit: %w", context.DeadlineExceeded), admin.CodeUnavailable, admin.CodeOutcomeUnknown, eventlog.AdminWriteUnknown},
		{admin.Errorf(admin.CodeUnavailable, "commit", "the store is down: %w", secret), admin.CodeUnavailable, admin.CodeUnavailable, eventlog.AdminWriteFailed},
	} {
		h := newHarness(t)
		h.backend.Err = c.err
		read, write := h.request("viewer", "GET", "/v1/pools", "", ""), h.request("operator", "POST", "/v1/plans", "r1", `{"intent":"i"}`)
		assert.Equal(t, decodeError(t, read).Code, c.read)
		assert.Equal(t, decodeError(t, write).Code, c.write)
		assert.Assert(t, slices.Contains(h.eventCodes(), c.event), "%v", h.eventCodes())
		if errors.Is(c.err, secret) && c.write == admin.CodeOutcomeUnknown {
			assert.Assert(t, !strings.Contains(read.Body.String()+write.Body.String(), "secret"))
		}
		h.backend.Err = nil
		assert.Equal(t, h.request("operator", "POST", "/v1/plans", "r1", `{"intent":"i"}`).Code, 200)
	}
}

// Guards against a panic in the backend that ends the process.
func TestPanic(t *testing.T) {
	h := newHarness(t)
	h.backend.BeforeChange = func(context.Context, admin.Write) { panic("fault") }
	w := h.request("operator", "POST", "/v1/plans", "r1", `{"intent":"i"}`)
	assert.Equal(t, decodeError(t, w).Code, admin.CodeOutcomeUnknown)
	assert.Assert(t, slices.Contains(h.eventCodes(), eventlog.AdminPanic))
}

// Guards against kept replies that use unbounded memory.
func TestKeptRepliesAreBounded(t *testing.T) {
	h := newHarness(t)
	for i := range 5000 {
		assert.Equal(t, h.request("operator", "POST", "/v1/plans", fmt.Sprint("r", i), `{"intent":"i"}`).Code, 200)
	}
	// r903 comes last, since carrying it out again evicts the oldest reply.
	for _, c := range []struct{ requestID, repeated string }{{"r4999", "true"}, {"r904", "true"}, {"r903", ""}} {
		w := h.request("operator", "POST", "/v1/plans", c.requestID, `{"intent":"i"}`)
		assert.Equal(t, w.Header().Get(admin.HeaderRepeated), c.repeated, c.requestID)
	}
}

// Guards against pagination that omits, repeats or reorders items.
func TestPagination(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		ids := rapid.SliceOfDistinct(rapid.StringMatching(`[a-c][a-c0-1]{0,3}`), rapid.ID).Draw(rt, "ids")
		h.backend.VMList = nil
		for _, id := range ids {
			h.backend.VMList = append(h.backend.VMList, fleet.VM{ID: fleet.VMID(id)})
		}
		limit := rapid.IntRange(1, 7).Draw(rt, "limit")
		var got []string
		after := ""
		for range len(ids) + 1 {
			var page admin.Page[admin.VM]
			w := h.request("viewer", "GET", fmt.Sprintf("/v1/vms?limit=%d%s", limit, after), "", "")
			assert.NilError(rt, json.Unmarshal(w.Body.Bytes(), &page))
			assert.Assert(rt, page.Items != nil && len(page.Items) <= limit)
			for _, vm := range page.Items {
				got = append(got, string(vm.ID))
			}
			if after = "&after=" + page.Next; page.Next == "" {
				break
			}
		}
		slices.Sort(ids)
		assert.Assert(rt, slices.Equal(got, ids), "%q, want %q", got, ids)
	})
}

// Guards against filters that are ignored.
func TestFilters(t *testing.T) {
	h := newHarness(t)
	for target, want := range map[string]int{
		"/v1/vms?pool=webshop": 2, "/v1/vms?phase=draining": 1, "/v1/vms?rack=rack-2": 1, "/v1/vms?zone=zone-a&phase=serving": 1,
		"/v1/vms?pool=none": 0, "/v1/plans?state=proposed": 2, "/v1/plans?state=done": 0, "/v1/pools?after=backoffice": 1,
	} {
		var page admin.Page[json.RawMessage]
		w := h.request("viewer", "GET", target, "", "")
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &page))
		assert.Equal(t, len(page.Items), want, target)
	}
}

// Guards against timeline pages that omit events.
func TestTimelinePagination(t *testing.T) {
	h := newHarness(t)
	for i := range uint64(5) {
		h.backend.Events = append(h.backend.Events, eventlog.Event{Time: 1<<60 + i, Sequence: i + 1})
	}
	var part admin.Timeline
	assert.NilError(t, json.Unmarshal(h.request("viewer", "GET", "/v1/timeline?limit=3", "", "").Body.Bytes(), &part))
	assert.Equal(t, len(part.Events), 3)
	assert.NilError(t, json.Unmarshal(h.request("viewer", "GET", "/v1/timeline?limit=3&after="+part.Next, "", "").Body.Bytes(), &part))
	assert.Equal(t, len(part.Events), 2)
	assert.Equal(t, part.Events[0].Sequence, uint64(4))
}

// Guards against a watch that returns without a change before its wait is over,
// that waits although the plan has changed, or that never returns.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		began := time.Now()
		assert.Equal(t, h.request("viewer", "GET", "/v1/plans/plan-1/watch?version=21", "", "").Code, 200)
		assert.Equal(t, time.Since(began), time.Duration(0))
		w := h.request("viewer", "GET", "/v1/plans/plan-1/watch?version=22&wait_ms=20000", "", "")
		assert.Equal(t, time.Since(began), 20*time.Second)
		assert.Assert(t, strings.Contains(w.Body.String(), `"version":22`), "%s", w.Body)
	})
}

// Guards against invalid options that cause a failure only at the first request.
func TestInvalidOptionsAreRejected(t *testing.T) {
	_, err := admin.NewServer(admin.Options{Timeout: -1})
	for _, part := range []string{"process", "backend", "timeout"} {
		assert.ErrorContains(t, err, part)
	}
}

// Guards against documentation that lacks a route or error code of the server, or
// describes one that does not exist.
func TestDocumentationMatchesServer(t *testing.T) {
	page, err := os.ReadFile("../docs/ADMIN-API.md")
	assert.NilError(t, err)
	var documented []admin.Route
	for _, m := range regexp.MustCompile("(?m)^### `([A-Z]+) (/v1/[^`]*)`\n\nRole: `([a-z]+)`").FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, admin.Route{Method: m[1], Path: m[2], Role: settings.Role(m[3])})
	}
	assert.DeepEqual(t, documented, admin.Routes())
	codes := map[admin.ErrorCode]int{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| (\\d{3}) \\|").FindAllStringSubmatch(string(page), -1) {
		codes[admin.ErrorCode(m[1])] = admin.ErrorCode(m[1]).Status()
		assert.Equal(t, fmt.Sprint(codes[admin.ErrorCode(m[1])]), m[2], m[1])
	}
	assert.DeepEqual(t, codes, admin.Statuses())
}

// Guards against a body that crashes the decoder, and against an invalid body that
// causes a change.
func FuzzRequest(f *testing.F) {
	for _, v := range endpoints {
		if v.method != "GET" {
			f.Add(v.method, v.target, []byte(v.body))
		}
	}
	f.Add("POST", "/v1/intents", []byte(configure))
	f.Add("GET", "/v1/vms?limit=3&after=vm-1", []byte(nil))
	f.Add("POST", "/v1/intents", []byte(`{"kind":"empty-rack","rack":"r","racK":"s"}`))
	f.Fuzz(func(t *testing.T, method, target string, body []byte) {
		r, err := http.NewRequest(method, target, bytes.NewReader(body))
		if err != nil || strings.Contains(r.URL.Path, "watch") { // A watch takes up to 30 s.
			return
		}
		r.Header = http.Header{"Authorization": {"Bearer admin"}, "Request-Id": {"r"}, "Content-Type": {"application/json"}}
		h := newHarness(t)
		w := h.serve(r)
		assert.Assert(t, w.Code < 500, "%d %s", w.Code, w.Body)
		assert.Equal(t, len(h.backend.Writes) > 0, w.Code == 200 && method != "GET")
		assert.Assert(t, json.Valid(w.Body.Bytes()))
	})
}
