package backend

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests to a server that fails fast which nobody counts: a
// second run of an order and the attraction of traffic would not be seen.
func TestErrorsAreRecorded(t *testing.T) {
	ledger := &Ledger{}
	s := NewServer(Options{VM: "vm-1", Slots: 1, Ledger: ledger})
	assert.NilError(t, s.SetMode(ModeError))
	request := httptest.NewRequest("POST", "/webshop/orders", nil)
	request.Header.Set(HeaderKey, "k")
	request.Header.Set(HeaderRequest, "1-0")
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, request)
	assert.Equal(t, recorder.Code, 500)
	runs := ledger.Runs()
	assert.Equal(t, len(runs), 1)
	run := runs[0]
	assert.Assert(t, run.Failed && run.End >= run.Start && run.Start > 0)
	assert.Equal(t, run.Key+" "+run.Request+" "+run.Service, "k 1-0 webshop")
}
