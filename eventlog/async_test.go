package eventlog

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that does not return until it is released.
type blockedWriter chan struct{}

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s
	return len(p), nil
}

// Guards against a process that is blocked by the reader of its log.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	release := make(blockedWriter)
	w := NewAsyncWriter(release, 2)
	for range 10 {
		w.Write([]byte("line\n"))
	}
	assert.Assert(t, w.Dropped() >= 7) // One line is being written, two are queued.
	close(release)
	w.Flush(5 * time.Second)
}

// Guards against lines that are lost when the process ends, or are out of order.
func TestAsyncWriterWritesAllInOrder(t *testing.T) {
	var buffer bytes.Buffer
	w := NewAsyncWriter(&buffer, 100)
	for _, line := range []string{"a", "b", "c"} {
		w.Write([]byte(line))
	}
	w.Flush(5 * time.Second)
	assert.Equal(t, buffer.String(), "abc")
	assert.Equal(t, w.Dropped(), uint64(0))
}
