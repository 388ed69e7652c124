package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"

	"peridotcrank.dev/fleet"
)

// secureDial wraps an outgoing connection in TLS when configured.
func (n *Node) secureDial(ctx context.Context, conn net.Conn, member fleet.MemberID) (net.Conn, error) {
	config, err := n.supplyTLS()
	if err != nil || config == nil {
		return conn, err
	}
	config.ServerName = string(member)
	client := tls.Client(conn, config)
	return client, client.HandshakeContext(ctx)
}

// secureAccept wraps an incoming connection in TLS when configured.
func (n *Node) secureAccept(ctx context.Context, conn net.Conn) (net.Conn, error) {
	config, err := n.supplyTLS()
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

func (n *Node) supplyTLS() (*tls.Config, error) {
	if n.config.TLS == nil {
		return nil, nil
	}
	config, err := n.config.TLS()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", StepSupplyTLS, err)
	}
	if config == nil || config.RootCAs == nil {
		// Without RootCAs any certificate of a public authority would be trusted.
		return nil, errors.New("the tls configuration has no RootCAs")
	}
	config = config.Clone()
	config.MinVersion = tls.VersionTLS13
	return config, nil
}

// verifyCertificate checks that the client's certificate names the member that
// Hello names. Plain connections pass.
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
