package crowd

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// client is a connection of a crowd.
type client struct {
	net.Conn
	number int
	path   string // A path at which a job can be submitted.
}

// sender sends what a client of a crowd sends. It returns early when the process has closed the
// connection. Each stage starts when all clients have ended the one before.
type sender []func(c *client)

const (
	// sendTimeout ends the sending of a client whose bytes the process does not read.
	sendTimeout = 4 * time.Second
	// legalHeadBytes is just below the limit of heads of net/http, 1 MiB and 4 KiB.
	legalHeadBytes = 1<<20 - 4<<10
	// endlessBytes is how much a client sends of what has no end.
	endlessBytes = 2 << 20
	trickleBytes = 1 << 10
)

// run sends from all clients at once. It calls afterStage at the end of each stage.
func (s sender) run(clients []*client, afterStage func()) {
	for _, stage := range s {
		var group sync.WaitGroup
		for _, c := range clients {
			c.SetDeadline(time.Now().Add(sendTimeout))
			group.Go(func() { stage(c) })
		}
		group.Wait()
		afterStage()
	}
}

// write sends data. The process may close the connection or stop reading at any time.
func (c *client) write(data []byte) bool {
	_, err := c.Conn.Write(data)
	return err == nil
}

func (c *client) writeText(text string) bool { return c.write([]byte(text)) }

// repeat sends copies of a piece.
func (c *client) repeat(piece []byte, total int) {
	for sent := 0; sent < total && c.write(piece); sent += len(piece) {
	}
}

// readAnswer reads the start of an answer. It returns without one when the connection or its deadline
// ends.
func (c *client) readAnswer() {
	io.ReadFull(c.Conn, make([]byte, 1)) // Any answer will do, and so will none.
}

// requestLine starts the head of a request that each HTTP port serves.
func requestLine(c *client) string {
	return "GET / HTTP/1.1\r\nHost: " + host + "\r\n"
}

// lineKinds is the number of kinds of lines that the clients of a crowd send.
const lineKinds = 4

// headLines returns very many short or odd lines of a head: the same name again, other names, folded
// lines and lines without a carriage return, depending on the client.
func headLines(c *client) []byte { return endlessLines()[c.number%lineKinds] }

// legalLines returns lines that fit into a head of legal size.
func legalLines(c *client) []byte {
	lines := headLines(c)
	end := bytes.LastIndexByte(lines[:legalHeadBytes], '\n')
	return lines[:end+1]
}

// endlessLines returns the lines of each kind.
var endlessLines = sync.OnceValue(func() (kinds [lineKinds][]byte) {
	for kind := range kinds {
		var b bytes.Buffer
		for n := 0; b.Len() < endlessBytes; n++ {
			writeLine(&b, kind, n)
		}
		kinds[kind] = b.Bytes()
	}
	return kinds
})

func writeLine(b *bytes.Buffer, kind, n int) {
	switch kind {
	case 0:
		b.WriteString("a:\n")
	case 1:
		b.WriteString(shortName(n) + ":\n")
	case 2:
		b.WriteString(shortName(n) + ":\r\n")
	case 3:
		b.WriteString(shortName(n) + ":\r\n \r\n\t;\r\n")
	}
}

const nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

// shortName returns the nth header name of at most four characters.
func shortName(n int) string {
	base := len(nameCharacters)
	return string([]byte{
		nameCharacters[n%base], nameCharacters[n/base%base], nameCharacters[n/base/base%base], nameCharacters[n/base/base/base%base],
	})
}

// sendManyLines sends heads of legal size that consist of very many lines.
var sendManyLines = sender{
	func(c *client) { c.writeText(requestLine(c)); c.write(legalLines(c)) },
	func(c *client) { c.writeText("\r\n"); c.readAnswer() },
}

// sendLongHeads sends whole heads over the limit, of one line or of many.
var sendLongHeads = sender{
	func(c *client) {
		c.writeText(requestLine(c))
		if c.number%2 == 0 {
			c.writeText("a: " + strings.Repeat("a", endlessBytes))
		} else {
			c.write(headLines(c))
		}
	},
	func(c *client) { c.writeText("\r\n\r\n"); c.readAnswer() },
}

// sendEndlessHeads sends heads that do not end, and a request line that does not.
var sendEndlessHeads = sender{func(c *client) {
	if c.number%4 == 0 {
		c.writeText("GET /")
		c.repeat(bytes.Repeat([]byte("a"), 64<<10), endlessBytes)
		return
	}
	c.writeText(requestLine(c))
	c.write(headLines(c))
}}

// trickleHeads sends heads of legal size in small pieces and leaves out their end.
var trickleHeads = sender{func(c *client) {
	c.writeText(requestLine(c))
	for piece := range slices.Chunk(legalLines(c), trickleBytes) {
		if !c.write(piece) {
			return
		}
	}
}}

// sendEmptyLines sends empty lines without end before a request.
var sendEmptyLines = sender{func(c *client) {
	lines := [][]byte{[]byte("\r\n"), []byte("\n")}[c.number%2]
	c.repeat(bytes.Repeat(lines, 16<<10), endlessBytes)
}}

// sendNothing leaves the connections open without a byte.
var sendNothing = sender{}

// bodyKind is how a client sends the body of a submission.
type bodyKind struct {
	content func() []byte
	chunked bool
	// missing is the number of bytes that are left out at the end.
	missing int
}

// textBody returns a body of legal size with one long string.
func textBody() []byte {
	const frame = `{"spec":""}`
	return []byte(`{"spec":"` + strings.Repeat("a", maxBodyBytes-len(frame)) + `"}`)
}

// manyStepsBody returns a body of legal size whose decoded form is many times larger.
func manyStepsBody() []byte {
	const frame = `{"steps":[{}]}`
	return []byte(`{"steps":[{}` + strings.Repeat(",{}", (maxBodyBytes-len(frame))/len(",{}")) + `]}`)
}

const chunkBytes = 16 << 10

// sender returns a sender of bodies of this kind. All bytes but the last few are sent in a stage of
// their own, so that the bodies are in progress together.
func (k bodyKind) sender() sender {
	body := k.content()
	const tail = 64
	first := func(c *client) {
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n", c.path, host)
		if !k.chunked {
			c.writeText(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)))
			c.write(body[:len(body)-tail])
			return
		}
		c.writeText(head + "Transfer-Encoding: chunked\r\n\r\n")
		for rest := body[:len(body)-tail]; len(rest) > 0; {
			n := min(chunkBytes, len(rest))
			if !c.writeText(fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])) {
				return
			}
			rest = rest[n:]
		}
	}
	last := func(c *client) {
		end := body[len(body)-tail : len(body)-k.missing]
		if k.chunked {
			c.writeText(fmt.Sprintf("%x\r\n%s", tail, end))
		} else {
			c.write(end)
		}
		if k.missing > 0 {
			return
		}
		if k.chunked {
			c.writeText("\r\n0\r\n\r\n")
		}
		c.readAnswer()
	}
	return sender{first, last}
}

// announcedBytes is the largest message that the port of peers accepts.
const announcedBytes = 4 << 20

// openSession starts a session of the peers' protocol on the client's connection.
func openSession(c *client) (*yamux.Session, error) {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.AcceptBacklog = maxUnacknowledgedStreams
	return yamux.Client(c.Conn, config)
}

// maxUnacknowledgedStreams is the number of streams that a client opens before the process has
// acknowledged any.
const maxUnacknowledgedStreams = 1 << 16

// sendAnnouncedMessages opens streams whose messages announce the largest size and stop one byte
// short.
func sendAnnouncedMessages(streams int) sender {
	return sender{func(c *client) {
		session, err := openSession(c)
		if err != nil {
			return
		}
		message := append(binary.BigEndian.AppendUint32(nil, announcedBytes), make([]byte, announcedBytes-1)...)
		var group sync.WaitGroup
		for range streams {
			stream, err := session.OpenStream()
			if err != nil {
				break
			}
			stream.SetDeadline(time.Now().Add(sendTimeout))
			group.Go(func() { stream.Write(message) }) // The process may close the stream at any time.
		}
		group.Wait()
	}}
}

// Tags of fields of the peers' messages.
const (
	requestJobTag = 5<<3 | 2
	jobStepTag    = 4<<3 | 2
)

// sendManyStepsMessage sends a message of legal size with a job of empty steps.
var sendManyStepsMessage = sender{func(c *client) {
	session, err := openSession(c)
	if err != nil {
		return
	}
	stream, err := session.OpenStream()
	if err != nil {
		return
	}
	stream.SetDeadline(time.Now().Add(sendTimeout))
	steps := bytes.Repeat([]byte{jobStepTag, 0}, (announcedBytes-maxTagBytes)/2)
	request := binary.AppendUvarint([]byte{requestJobTag}, uint64(len(steps)))
	request = append(request, steps...)
	if _, err := stream.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(request))), request...)); err == nil {
		io.ReadFull(stream, make([]byte, 1)) // Any answer will do, and so will none.
	}
}}

// maxTagBytes is at least the size of a tag and a length.
const maxTagBytes = 8

// Headers of frames of the peers' protocol (yamux, version 0).
const (
	windowUpdateFrame = 1
	pingFrame         = 2
	synFlag           = 1
)

func appendFrame(b []byte, kind byte, flags uint16, stream, length uint32) []byte {
	b = append(b, 0, kind)
	b = binary.BigEndian.AppendUint16(b, flags)
	b = binary.BigEndian.AppendUint32(b, stream)
	return binary.BigEndian.AppendUint32(b, length)
}

// sendEmptyStreams opens streams in a session and sends nothing on them.
func sendEmptyStreams(streams int) sender {
	return sender{func(c *client) {
		var frames []byte
		for n := range streams {
			frames = appendFrame(frames, windowUpdateFrame, synFlag, uint32(2*n+1), 0)
		}
		go io.Copy(io.Discard, c.Conn) // Until the connection is closed.
		c.write(frames)
	}}
}

// sendPings sends pings and does not read the replies.
func sendPings(count int) sender {
	return sender{func(c *client) {
		var frames []byte
		for n := range count {
			frames = appendFrame(frames, pingFrame, synFlag, 0, uint32(n))
		}
		c.write(frames)
	}}
}

// sendNoFrames sends bytes without end that are no frame, or one frame without end of an unknown
// stream.
var sendNoFrames = sender{func(c *client) {
	if c.number%2 == 0 {
		c.write(appendFrame(nil, 0, 0, 99, math.MaxUint32))
	}
	c.repeat(bytes.Repeat([]byte{0xff}, 64<<10), endlessBytes)
}}
