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
	"peridotcrank.dev/exchange/bearer"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/settings"
)

// Options configures a [Server].
type Options struct {
	// Process is the member id of the entry process. Required.
	Process fleet.MemberID
	// Backend implements the operations. Required.
	Backend Backend
	// Operators lists the operators with their tokens. When it is empty, each
	// request is refused.
	Operators []settings.Operator
	// Recorder receives events. Default eventlog.Discard.
	Recorder eventlog.Recorder
	// Timeout bounds the processing of one request, not including the wait of a
	// watch. Default 10 s.
	Timeout time.Duration
	// Now is the clock for the expiry of tokens and of kept replies. Default
	// time.Now.
	Now func() time.Time
}

// DefaultTimeout is the default of Options.Timeout.
const DefaultTimeout = 10 * time.Second

// Validate returns an error for each option that is missing or out of range.
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

// Server is the HTTP handler of the API. It is safe for concurrent use.
type Server struct {
	process    fleet.MemberID
	backend    Backend
	timeout    time.Duration
	now        func() time.Time
	auth       authenticator
	replies    *replyCache
	refusalLog refusalRecorder
	recorder   eventlog.Recorder
	mux        *http.ServeMux
}

// NewServer returns the handler of the API, or an error when the options are
// invalid. It records an event for each token that expires soon.
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
		auth:       authenticator{operators: o.Operators, now: o.Now},
		replies:    newReplyCache(o.Now),
		refusalLog: refusalRecorder{recorder: o.Recorder, now: o.Now},
		recorder:   o.Recorder, mux: http.NewServeMux(),
	}
	for _, r := range routes {
		s.mux.HandleFunc(r.pattern(), func(w http.ResponseWriter, request *http.Request) { s.serveRoute(w, request, r) })
	}
	s.warnOfExpiringTokens()
	return s, nil
}

// expiryWarningPeriod is the remaining validity of a token below which the process
// warns at its start.
const expiryWarningPeriod = 7 * 24 * time.Hour

func (s *Server) warnOfExpiringTokens() {
	for _, o := range s.auth.operators {
		if !o.Expires.IsZero() && o.Expires.Sub(s.now()) < expiryWarningPeriod {
			s.recorder.Record(eventlog.AdminTokenExpiring, eventlog.Fields{"operator": o.Name, "expires": o.Expires})
		}
	}
}

// NewHTTPServer returns an HTTP server whose timeouts and header limit are set for
// the API, including the longest watch.
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

// ServeHTTP implements http.Handler. It authenticates before it matches the route,
// so that only operators can find out which routes exist.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	operator, code, err := s.auth.authenticate(r)
	if err != nil {
		s.refusalLog.record(code, eventlog.Fields{"from": r.RemoteAddr, "method": r.Method, "path": r.URL.Path})
		w.Header().Set("WWW-Authenticate", bearer.Challenge)
		writeReply(w, encodeError(err))
		return
	}
	switch allowed := s.allowedMethods(r); {
	case len(allowed) == 0:
		writeReply(w, encodeError(Errorf(CodeNotFound, "route", "there is no such route")))
	case !slices.Contains(allowed, r.Method):
		w.Header().Set("Allow", strings.Join(allowed, ", "))
		writeReply(w, encodeError(Errorf(CodeMethodNotAllowed, "route", "the route accepts %s", strings.Join(allowed, ", "))))
	default:
		s.mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	}
}

// allowedMethods returns the methods that the routes with the request's path
// support.
func (s *Server) allowedMethods(r *http.Request) (methods []string) {
	if path.Clean(r.URL.Path) != r.URL.Path {
		return nil // http.ServeMux would redirect to the clean path.
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

// call holds the validated parts of one request.
type call struct {
	ctx      context.Context
	operator *settings.Operator
	id       string // Path parameter "id".
	params   params
	body     []byte
	write    Write // Set only for writes.
}

// serveRoute checks the role and the request, executes the endpoint and writes the
// reply.
func (s *Server) serveRoute(w http.ResponseWriter, r *http.Request, endpoint route) {
	operator, ok := r.Context().Value(operatorKey{}).(*settings.Operator)
	if !ok || !hasRole(operator, endpoint.Role) {
		s.refusalLog.record(eventlog.AdminForbidden, eventlog.Fields{"operator": operatorName(operator), "route": endpoint.pattern()})
		writeReply(w, encodeError(forbiddenError(endpoint.Role)))
		return
	}
	c, err := s.newCall(w, r, endpoint, operator)
	if err != nil {
		s.refusalLog.record(eventlog.AdminRequestInvalid, eventlog.Fields{"operator": operator.Name, "route": endpoint.pattern(), "error": err})
		writeReply(w, encodeError(err))
		return
	}
	if endpoint.IsWrite() {
		w.Header().Set(HeaderRequestID, c.write.RequestID)
		writeReply(w, s.serveWrite(w, c, endpoint))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.timeout+endpoint.watchTime)
	defer cancel()
	c.ctx = ctx
	writeReply(w, s.execute(c, endpoint))
}

func operatorName(o *settings.Operator) string {
	if o == nil {
		return ""
	}
	return o.Name
}

func forbiddenError(role settings.Role) error {
	return Errorf(CodeForbidden, "authorize", "the role %s is required", role)
}

// newCall validates the path, query, header and body of a request.
func (s *Server) newCall(w http.ResponseWriter, r *http.Request, endpoint route, operator *settings.Operator) (*call, error) {
	c := &call{operator: operator, id: r.PathValue("id")}
	if strings.Contains(endpoint.Path, "{id}") && !ValidID(c.id) {
		return nil, Errorf(CodeInvalid, stepDecode, "the identifier in the path is not valid")
	}
	var err error
	if c.params, err = parseParams(r.URL.RawQuery, endpoint.params); err != nil {
		return nil, err
	}
	if !endpoint.IsWrite() {
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
