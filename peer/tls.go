package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"

	"peridotcrank.dev/fleet"
)

// secureOutgoing performs the TLS handshake of an outgoing connection and
// verifies the member's certificate. It returns conn when TLS is not configured.
func (n *Node) secureOutgoing(ctx context.Context, conn net.Conn, member fleet.MemberID) (net.Conn, error) {
	config, err := n.tlsConfig()
	if err != nil || config == nil {
		return conn, err
	}
	config.ServerName = string(member)
	client := tls.Client(conn, config)
	return client, client.HandshakeContext(ctx)
}

// secureIncoming performs the TLS handshake of an incoming connection and
// requires a client certificate. It returns conn when TLS is not configured.
func (n *Node) secureIncoming(ctx context.Context, conn net.Conn) (net.Conn, error) {
	config, err := n.tlsConfig()
	if err != nil || config == nil {
		return conn, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	if config.ClientCAs == nil {
		config.ClientCAs = config.RootCAs
	}
	server := tls.Server(conn, config)
	return server, server.HandshakeContext(ctx)
}

// tlsConfig returns a copy of the TLS configuration, or nil when TLS is not
// configured.
func (n *Node) tlsConfig() (*tls.Config, error) {
	if n.config.TLS == nil {
		return nil, nil
	}
	config, err := n.config.TLS()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", StepTLSConfig, err)
	}
	if config == nil || config.RootCAs == nil {
		// Without RootCAs, certificates of all public authorities would be trusted.
		return nil, errors.New("the TLS configuration has no RootCAs")
	}
	config = config.Clone()
	config.MinVersion = tls.VersionTLS13
	return config, nil
}

// verifyCertificate returns an error when the client's certificate does not name
// the member given in Hello. It returns nil for connections without TLS.
func verifyCertificate(conn net.Conn, member fleet.MemberID) error {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certificates := secure.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return errors.New("no client certificate")
	}
	return certificates[0].VerifyHostname(string(member))
}
