package inbound

import (
	"crypto/tls"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against the first message of a TLS handshake, of which up to 64 KiB are buffered while it is incomplete and which is not counted.
func TestUnfinishedHandshakeIsCounted(t *testing.T) {
	const sent = 48 << 10
	limiter, err := NewLimiter(Options{Connections: 10, Memory: MemoryFor(10, 1<<20)})
	assert.NilError(t, err)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	config := &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return nil, nil }}
	server := &http.Server{Handler: http.NotFoundHandler()}
	limiter.Configure(server)
	go server.Serve(limiter.Listen(tls.NewListener(inner, config)))
	t.Cleanup(func() { server.Close() })
	s := &testServer{t: t, limiter: limiter, address: inner.Addr().String()}
	s.open(unfinishedClientHello(sent))
	s.awaitUse(MemoryFor(1, sent), 1)
}

// unfinishedClientHello returns records with the beginning of a ClientHello of 60 KiB.
func unfinishedClientHello(size int) string {
	const (
		recordHandshake  = 22
		clientHello      = 1
		recordBytes      = 16 << 10
		announced        = 60 << 10
		recordVersionTLS = "\x03\x01"
	)
	message := append([]byte{clientHello, 0, announced >> 8, announced & 255}, make([]byte, size)...)
	var records []byte
	for len(message) > 0 {
		n := min(len(message), recordBytes)
		records = append(append(records, recordHandshake), recordVersionTLS...)
		records = append(append(records, byte(n>>8), byte(n)), message[:n]...)
		message = message[n:]
	}
	return string(records)
}
