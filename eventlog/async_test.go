package eventlog

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
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

// gatedBuffer is a buffer whose writes wait until the gate is closed.
type gatedBuffer struct {
	bytes.Buffer
	gate chan struct{}
}

func (b *gatedBuffer) Write(p []byte) (int, error) {
	<-b.gate
	return b.Buffer.Write(p)
}

// Guards against lines of rare events that are dropped, or not counted, because frequent ones fill the queue.
func TestFrequentEventsDoNotCrowdOutRareOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const queue, frequent, seconds = 400, 200, 30
		out := &gatedBuffer{gate: make(chan struct{})}
		w := NewAsyncWriter(out, queue)
		log := newTestLog(t, Options{Process: "p", Writer: w, LinesPerSecond: 250, Clock: NewClock(nil)})
		rare := []Code{ShardLost, WorkerRestarted, RunRemoved}
		for range seconds {
			for range frequent {
				log.Record(CallNotServed, Fields{})
			}
			for _, code := range rare {
				log.Record(code, Fields{})
			}
			time.Sleep(time.Second)
		}
		close(out.gate)
		synctest.Wait()
		for range 2 {
			time.Sleep(time.Second)
			log.Record(ShardLost, Fields{})
		}
		w.Flush(time.Second)
		for _, code := range rare {
			assert.Assert(t, strings.Count(out.String(), eventName(code)) >= seconds, "lines of %s", eventName(code))
		}
		written := strings.Count(out.String(), `"event":"call-not-served"`)
		reports := strings.Count(out.String(), `"event":"log-lines-dropped"`)
		assert.Equal(t, reports, 1, out.String())
		assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf(`"field.event":"call-not-served","field.lines":%d`, frequent*seconds-written)))
		close(w.lines)
	})
}
