package peer

import (
	"bufio"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/peer/peerpb"
)

// bufferSize lets a burst of small frames fit into one yamux frame.
const bufferSize = 16 << 10 // bytes

// frameReader reads envelopes from a stream.
type frameReader struct {
	buffered *bufio.Reader
	options  protodelim.UnmarshalOptions
	counts   *classCounters
}

func newFrameReader(r io.Reader, maxFrame int, counts *classCounters) *frameReader {
	reader := &frameReader{options: protodelim.UnmarshalOptions{MaxSize: int64(maxFrame)}, counts: counts}
	reader.buffered = bufio.NewReaderSize(&countingReader{r, reader}, bufferSize)
	return reader
}

func (r *frameReader) read() (*peerpb.Envelope, error) {
	envelope := new(peerpb.Envelope)
	if err := r.options.UnmarshalFrom(r.buffered, envelope); err != nil {
		return nil, err
	}
	r.counts.messagesReceived.Add(1)
	return envelope, nil
}

// countingReader counts the bytes read into the buffer of a frameReader. It
// looks up the counters on each read, because they depend on the traffic class,
// which is known only after Hello.
type countingReader struct {
	io.Reader
	frames *frameReader
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.frames.counts.bytesReceived.Add(uint64(n))
	return n, err
}

// frameWriter writes envelopes to a stream.
type frameWriter struct {
	buffered *bufio.Writer
	counts   *classCounters
}

func newFrameWriter(w io.Writer, counts *classCounters) *frameWriter {
	return &frameWriter{bufio.NewWriterSize(w, bufferSize), counts}
}

func (w *frameWriter) write(envelope *peerpb.Envelope) error {
	n, err := protodelim.MarshalTo(w.buffered, envelope)
	w.counts.bytesSent.Add(uint64(n))
	if err == nil {
		w.counts.messagesSent.Add(1)
	}
	return err
}

func (w *frameWriter) flush() error { return w.buffered.Flush() }

// checkSize returns ErrTooLarge when the envelope exceeds the frame limit. It
// reserves space for the fields that are set when the frame is written.
func checkSize(envelope *peerpb.Envelope, maxFrame int) error {
	const reservedBytes = 32 // bytes; logical_time and deadline_ms
	if size := proto.Size(envelope) + reservedBytes; size > maxFrame {
		return fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, size, maxFrame)
	}
	return nil
}
