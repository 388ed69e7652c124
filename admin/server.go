package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path"
	"slices"
	"strings"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/settings"
)

// Options configure a [Server].
type Options struct {
	// Process is the member id of the entry process. Required.
	Process fleet.MemberID
	// Backend carries out the verbs. Required.
	Backend Backend
	// Operators hold tokens. Without any, each request is refused.
	Operators []settings.Operator
	// Recorder receives events. Default eventlog.Discard.
	Recorder eventlog.Recorder
	// Timeout bounds the work for one request, apart from watching. Default 10 s.
	Timeout time.Duration
	// Now is the clock of expiry and repetitions. Default time.Now.
	Now func() time.Time
}

// DefaultTimeout is the default of Options.Timeout.
const DefaultTimeout = 10 * time.Second

// Validate reports options that cannot be used.
func (o Options) Validate() error {
	var faults []error
	if o.Process == "" {
		faults = append(faults, errors.New("admin: process is empty"))
	}
	if o.Backend == nil {
		faults = append(faults, errors.New("admin: no backend"))
	}
	if o.Timeout < 0 {
		faults = append(faults, fmt.Errorf("admin: timeout %s is negative", o.Timeout))
	}
	return errors.Join(faults...)
}

// Server is the HTTP handler of the API.
type Server struct {
	process  fleet.MemberID
	backend  Backend
	timeout  time.Duration
	now      func() time.Time
	auth     authenticator
	replay   *replay
	refusals refusals
	recorder eventlog.Recorder
	mux      *http.ServeMux
}

// NewServer returns the handler of the API.
func NewServer(o Options) (*Server, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	if o.Recorder == nil {
		o.Recorder = eventlog.Discard
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Server{
		process: o.Process, backend: o.Backend, timeout: o.Timeout, now: o.Now,
		auth:     authenticator{operators: o.Operators, now: o.Now},
		replay:   newReplay(o.Now),
		refusals: refusals{recorder: o.Recorder, now: o.Now},
		recorder: o.Recorder, mux: http.NewServeMux(),
	}
	for _, r := range routes {
		s.mux.HandleFunc(r.pattern(), func(w http.ResponseWriter, request *http.Request) { s.serve(w, request, r) })
	}
	s.warnOfExpiry()
	return s, nil
}

// expiryWarning is the time before the end of a token at which a start of the
// process warns of it.
const expiryWarning = 7 * 24 * time.Hour

func (s *Server) warnOfExpiry() {
	for _, o := range s.auth.operators {
		if !o.Expires.IsZero() && o.Expires.Sub(s.now()) < expiryWarning {
			s.recorder.Record(eventlog.AdminTokenExpiring, eventlog.Fields{"operator": o.Name, "expires": o.Expires})
		}
	}
}

// NewHTTPServer returns an HTTP server with timeouts that suit the API.
func NewHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       15 * time.Second,
		WriteTimeout:      MaxWatch + DefaultTimeout,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
}

// ServeHTTP authenticates before it looks at the route, so that only operators
// learn which routes exist.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	operator, code, err := s.auth.authenticate(r)
	if err != nil {
		s.refusals.record(code, eventlog.Fields{"from": r.RemoteAddr, "method": r.Method, "path": r.URL.Path})
		w.Header().Set("WWW-Authenticate", "Bearer")
		send(w, encodeError(err))
		return
	}
	switch allowed := s.allowedMethods(r); {
	case len(allowed) == 0:
		send(w, encodeError(Errorf(CodeNotFound, "route", "there is no such route")))
	case !slices.Contains(allowed, r.Method):
		w.Header().Set("Allow", strings.Join(allowed, ", "))
		send(w, encodeError(Errorf(CodeMethodNotAllowed, "route", "the route accepts %s", strings.Join(allowed, ", "))))
	default:
		s.mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	}
}

// allowedMethods returns the methods of the routes at the request's path.
func (s *Server) allowedMethods(r *http.Request) (methods []string) {
	if path.Clean(r.URL.Path) != r.URL.Path {
		return nil // The multiplexer would redirect.
	}
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
		probe := &http.Request{Method: method, URL: r.URL, Host: r.Host}
		if _, pattern := s.mux.Handler(probe); pattern != "" {
			methods = append(methods, method)
		}
	}
	return methods
}

type operatorKey struct{}

// call is one request to a route.
type call struct {
	ctx      context.Context
	operator *settings.Operator
	id       string // Path parameter "id".
	params   params
	body     []byte
	write    Write // Only of writes.
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, to route) {
	operator, ok := r.Context().Value(operatorKey{}).(*settings.Operator)
	if !ok || !permits(operator, to.Role) {
		s.refusals.record(eventlog.AdminForbidden, eventlog.Fields{"operator": operatorName(operator), "route": to.pattern()})
		send(w, encodeError(forbidden(to.Role)))
		return
	}
	c, err := s.newCall(w, r, to, operator)
	if err != nil {
		s.refusals.record(eventlog.AdminRequestInvalid, eventlog.Fields{"operator": operator.Name, "route": to.pattern(), "error": err})
		send(w, encodeError(err))
		return
	}
	if to.Write() {
		w.Header().Set(HeaderRequestID, c.write.RequestID)
		send(w, s.serveWrite(w, c, to))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.timeout+to.wait)
	defer cancel()
	c.ctx = ctx
	send(w, s.run(c, to))
}

func operatorName(o *settings.Operator) string {
	if o == nil {
		return ""
	}
	return o.Name
}

func forbidden(role settings.Role) error {
	return Errorf(CodeForbidden, "authorize", "the role %s is required", role)
}

func (s *Server) newCall(w http.ResponseWriter, r *http.Request, to route, operator *settings.Operator) (*call, error) {
	c := &call{operator: operator, id: r.PathValue("id")}
	if strings.Contains(to.Path, "{id}") && !ValidID(c.id) {
		return nil, Errorf(CodeInvalid, stepDecode, "the identifier in the path is not valid")
	}
	var err error
	if c.params, err = parseParams(r.URL.RawQuery, to.params); err != nil {
		return nil, err
	}
	if !to.Write() {
		return c, nil
	}
	requestID := r.Header.Values(HeaderRequestID)
	if len(requestID) != 1 || !ValidID(requestID[0]) {
		return nil, Errorf(CodeInvalid, stepDecode, "the header %s is required once, with up to %d characters of A-Z, a-z, 0-9, '.', '_' and '-'", HeaderRequestID, MaxIDBytes)
	}
	if c.body, err = readBody(w, r); err != nil {
		return nil, err
	}
	c.write = newWrite(operator.Name, requestID[0], r.Method+" "+r.URL.Path, c.body)
	return c, nil
}
