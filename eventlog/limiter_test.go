package eventlog

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a log that grows with the load while a fault affects every
// request, and against suppressed lines that are not counted in the log.
func TestLinesOfAnEventAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log, err := New(Options{Process: "p", Writer: &out, LinesPerSecond: 10})
		assert.NilError(t, err)
		time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second)))
		for range 35 {
			log.Record(JobRefused, Fields{})
		}
		log.Record(JobEnded, Fields{})
		assert.Equal(t, strings.Count(out.String(), "job-refused"), 10)
		assert.Equal(t, strings.Count(out.String(), "job-ended"), 1)
		time.Sleep(time.Second)
		log.Record(JobEnded, Fields{})
		assert.Assert(t, strings.Contains(out.String(), `"field.event":"job-refused","field.lines":25`), out.String())
		assert.Equal(t, log.Recorded(), uint64(38))
	})
}

// Guards against a negative line rate, which would suppress all lines.
func TestNegativeRateIsRefused(t *testing.T) {
	_, err := New(Options{Process: "p", Writer: &bytes.Buffer{}, LinesPerSecond: -1})
	assert.ErrorContains(t, err, "negative")
}
