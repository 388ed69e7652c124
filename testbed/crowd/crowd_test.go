package crowd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Sizes of the crowds. They are fixed; the limits of the process have to bear them.
const (
	headClients   = 32
	bodyClients   = 160
	silentClients = 400
	// largeBodyClients send bodies whose decoded form is many times larger.
	largeBodyClients = 4

	// largeMessageSessions send one message each whose decoded form is many times larger.
	largeMessageSessions = 1

	messageSessions   = 8
	streamsPerSession = 4
	streamSessions    = 4
	emptyStreams      = 50_000 // Of each session.
	pingSessions      = 4
	pingsPerSession   = 50_000
)

// expectSurvival lets a crowd send to a port. While its connections are open and after they are
// closed, the process lives, answers ordinary requests and stays within its limits.
//
// The crowd has the address of the ordinary clients, because the platform forwards connections.
func expectSurvival(t *testing.T, to port, count int, s sender) {
	t.Helper()
	p := startProgram(t, 0)
	t.Logf("before the crowd: %d KiB, %d descriptors", p.peakMemoryBytes()>>10, p.descriptors())
	peakDescriptors := p.watchDescriptors()
	clients := p.connect(to, count)
	s.run(clients, p.awaitSteadyMemory)
	p.expectServing()
	p.expectAlive()
	// The requests were accepted after the connections of the crowd.
	standing := p.descriptors()
	t.Logf("with the crowd: %d KiB, %d descriptors", p.peakMemoryBytes()>>10, standing)
	for _, c := range clients {
		c.Close()
	}
	p.expectServing()
	p.expectAlive()
	memory, descriptors := p.peakMemoryBytes(), max(standing, peakDescriptors())
	t.Logf("peak: %d KiB of %d, %d descriptors of %d", memory>>10, memoryBound>>10, descriptors, descriptorBound)
	assert.Check(t, memory <= memoryBound, "the process used %d KiB, more than %d", memory>>10, memoryBound>>10)
	assert.Check(t, descriptors <= descriptorBound, "the process opened %d descriptors, more than %d", descriptors, descriptorBound)
}

// connect opens the connections of a crowd. The process may refuse some.
func (p *program) connect(to port, count int) []*client {
	var clients []*client
	for n := range count {
		conn, err := net.DialTimeout("tcp", p.addresses[to], attemptTimeout)
		if err != nil {
			continue
		}
		p.t.Cleanup(func() { conn.Close() })
		clients = append(clients, &client{Conn: conn, number: n, path: p.newJobPath()})
	}
	return clients
}

// Guards against heads of legal size with very many lines that exhaust memory.
func TestCallersManyHeaderLines(t *testing.T) { expectSurvival(t, callers, headClients, sendManyLines) }
func TestReadinessManyHeaderLines(t *testing.T) {
	expectSurvival(t, readiness, headClients, sendManyLines)
}
func TestMetricsManyHeaderLines(t *testing.T) { expectSurvival(t, metrics, headClients, sendManyLines) }

// Guards against heads over the limit that exhaust memory.
func TestCallersLongHeads(t *testing.T)   { expectSurvival(t, callers, headClients, sendLongHeads) }
func TestReadinessLongHeads(t *testing.T) { expectSurvival(t, readiness, headClients, sendLongHeads) }
func TestMetricsLongHeads(t *testing.T)   { expectSurvival(t, metrics, headClients, sendLongHeads) }

// Guards against heads without end that exhaust memory.
func TestCallersEndlessHeads(t *testing.T) { expectSurvival(t, callers, headClients, sendEndlessHeads) }
func TestReadinessEndlessHeads(t *testing.T) {
	expectSurvival(t, readiness, headClients, sendEndlessHeads)
}
func TestMetricsEndlessHeads(t *testing.T) { expectSurvival(t, metrics, headClients, sendEndlessHeads) }

// Guards against heads sent piece by piece and never ended that exhaust memory.
func TestCallersTrickledHeads(t *testing.T) { expectSurvival(t, callers, headClients, trickleHeads) }
func TestReadinessTrickledHeads(t *testing.T) {
	expectSurvival(t, readiness, headClients, trickleHeads)
}
func TestMetricsTrickledHeads(t *testing.T) { expectSurvival(t, metrics, headClients, trickleHeads) }

// Guards against empty lines without end before a request that exhaust memory.
func TestCallersEmptyLines(t *testing.T)   { expectSurvival(t, callers, headClients, sendEmptyLines) }
func TestReadinessEmptyLines(t *testing.T) { expectSurvival(t, readiness, headClients, sendEmptyLines) }
func TestMetricsEmptyLines(t *testing.T)   { expectSurvival(t, metrics, headClients, sendEmptyLines) }

// Guards against connections that send nothing and use up the descriptors.
func TestCallersSilentConnections(t *testing.T) {
	expectSurvival(t, callers, silentClients, sendNothing)
}
func TestReadinessSilentConnections(t *testing.T) {
	expectSurvival(t, readiness, silentClients, sendNothing)
}
func TestMetricsSilentConnections(t *testing.T) {
	expectSurvival(t, metrics, silentClients, sendNothing)
}
func TestPeersSilentConnections(t *testing.T) { expectSurvival(t, peers, silentClients, sendNothing) }

var (
	wholeBodies          = bodyKind{content: textBody}.sender()
	wholeChunkedBodies   = bodyKind{content: textBody, chunked: true}.sender()
	unendedBodies        = bodyKind{content: textBody, missing: 1}.sender()
	unendedChunkedBodies = bodyKind{content: textBody, chunked: true, missing: 1}.sender()
	manyStepsBodies      = bodyKind{content: manyStepsBody}.sender()
)

// Guards against large bodies at once that exhaust memory.
func TestCallersLargeBodies(t *testing.T) { expectSurvival(t, callers, bodyClients, wholeBodies) }
func TestCallersLargeChunkedBodies(t *testing.T) {
	expectSurvival(t, callers, bodyClients, wholeChunkedBodies)
}
func TestReadinessLargeBodies(t *testing.T) { expectSurvival(t, readiness, bodyClients, wholeBodies) }
func TestReadinessLargeChunkedBodies(t *testing.T) {
	expectSurvival(t, readiness, bodyClients, wholeChunkedBodies)
}
func TestMetricsLargeBodies(t *testing.T) { expectSurvival(t, metrics, bodyClients, wholeBodies) }
func TestMetricsLargeChunkedBodies(t *testing.T) {
	expectSurvival(t, metrics, bodyClients, wholeChunkedBodies)
}

// Guards against bodies that stop one byte short, stay open and exhaust memory.
func TestCallersUnendedBodies(t *testing.T) { expectSurvival(t, callers, bodyClients, unendedBodies) }
func TestCallersUnendedChunkedBodies(t *testing.T) {
	expectSurvival(t, callers, bodyClients, unendedChunkedBodies)
}
func TestReadinessUnendedBodies(t *testing.T) {
	expectSurvival(t, readiness, bodyClients, unendedBodies)
}
func TestReadinessUnendedChunkedBodies(t *testing.T) {
	expectSurvival(t, readiness, bodyClients, unendedChunkedBodies)
}
func TestMetricsUnendedBodies(t *testing.T) { expectSurvival(t, metrics, bodyClients, unendedBodies) }
func TestMetricsUnendedChunkedBodies(t *testing.T) {
	expectSurvival(t, metrics, bodyClients, unendedChunkedBodies)
}

// Guards against a few bodies of legal size whose decoded form exhausts memory.
func TestCallersBodiesOfManySteps(t *testing.T) {
	expectSurvival(t, callers, largeBodyClients, manyStepsBodies)
}

// Guards against messages of the largest size that stop one byte short and exhaust memory.
func TestPeersUnendedMessages(t *testing.T) {
	expectSurvival(t, peers, messageSessions, sendAnnouncedMessages(streamsPerSession))
}

// Guards against a message of legal size whose decoded form exhausts memory.
func TestPeersMessageOfManySteps(t *testing.T) {
	expectSurvival(t, peers, largeMessageSessions, sendManyStepsMessage)
}

// Guards against very many streams of a session that exhaust memory.
func TestPeersManyStreams(t *testing.T) {
	expectSurvival(t, peers, streamSessions, sendEmptyStreams(emptyStreams))
}

// Guards against pings whose replies are not read and that exhaust memory.
func TestPeersPingsWithoutReading(t *testing.T) {
	expectSurvival(t, peers, pingSessions, sendPings(pingsPerSession))
}

// Guards against bytes without end that are no frames and exhaust memory.
func TestPeersNoFrames(t *testing.T) { expectSurvival(t, peers, headClients, sendNoFrames) }

// Guards against a port that serves no more after the process was out of descriptors.
func TestPeersServeAfterDescriptorsRanOut(t *testing.T) {
	p := startProgram(t, descriptorBound)
	clients := p.connect(peers, silentClients)
	for _, c := range clients {
		c.Close()
	}
	p.expectServing()
}

// Guards against limits that refuse a single request within the sizes that clients may send.
func TestSingleLargeRequestIsServedInCalm(t *testing.T) {
	p := startProgram(t, 0)
	body := strings.TrimSuffix(ordinaryBody, "}") + strings.Repeat(" ", maxBodyBytes-len(ordinaryBody)) + "}"
	assert.Equal(t, len(body), maxBodyBytes)
	header := http.Header{}
	for n := range largeHeadLines {
		header.Set(fmt.Sprintf("X-Line-%d", n), strings.Repeat("a", largeLineBytes))
	}
	p.expectAnswer("large submission", func(ctx context.Context) error { return p.submit(ctx, body, header) })
}

// A head of this size is within the lowered limits.
const (
	largeHeadLines = 500
	largeLineBytes = 80
)
