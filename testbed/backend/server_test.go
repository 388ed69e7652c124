package backend

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a failing server that leaves its requests out of the run log: tests would
// miss an order that was sent twice, and traffic that the fast errors attract.
func TestErrorsAreRecorded(t *testing.T) {
	runLog := &RunLog{}
	s := NewServer(Options{VM: "vm-1", Slots: 1, RunLog: runLog})
	assert.NilError(t, s.SetMode(ModeError))
	request := httptest.NewRequest("POST", "/webshop/orders", nil)
	request.Header.Set(HeaderKey, "k")
	request.Header.Set(HeaderRequest, "1-0")
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, request)
	assert.Equal(t, recorder.Code, 500)
	runs := runLog.Runs()
	assert.Equal(t, len(runs), 1)
	run := runs[0]
	assert.Assert(t, run.Failed && run.End >= run.Start && run.Start > 0)
	assert.Equal(t, run.Key+" "+run.Request+" "+run.Service, "k 1-0 webshop")
}
