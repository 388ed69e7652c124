package entry

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"

	"peridotcrank.dev/peer"
	"peridotcrank.dev/settings"
)

// withTLS returns a TLS listener, or l itself if the key pair is not set. The files
// are read for each connection, so that a replaced certificate needs no restart.
func withTLS(l net.Listener, pair settings.KeyPair) net.Listener {
	if !pair.Set() {
		return l
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return loadKeyPair(pair) },
	})
}

func loadKeyPair(pair settings.KeyPair) (*tls.Certificate, error) {
	certificate, err := tls.LoadX509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate %s: %w", pair.Certificate, err)
	}
	return &certificate, nil
}

// peerTLS returns a function that loads the configuration of mutual TLS between
// entry processes, or nil for plain TCP.
func peerTLS(t settings.TLS) peer.TLSConfigFunc {
	if !t.Peers.Set() {
		return nil
	}
	return func() (*tls.Config, error) {
		certificate, err := loadKeyPair(t.Peers)
		if err != nil {
			return nil, err
		}
		authority, err := os.ReadFile(t.PeerCA)
		if err != nil {
			return nil, fmt.Errorf("read certificate authority of the peers: %w", err)
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(authority) {
			return nil, errors.New("read certificate authority of the peers: " + t.PeerCA + " holds no certificate")
		}
		return &tls.Config{Certificates: []tls.Certificate{*certificate}, RootCAs: roots}, nil
	}
}
