package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// CheckFiles reports TLS files that cannot be used on this machine. Names are
// relative to the working directory of the process.
func (s Settings) CheckFiles() error {
	var faults []error
	for _, pair := range []struct {
		path string
		KeyPair
	}{{"tls.callers", s.TLS.Callers}, {"tls.peers", s.TLS.Peers}, {"tls.admin", s.TLS.Admin}} {
		if !pair.Set() {
			continue
		}
		if _, err := tls.LoadX509KeyPair(pair.Certificate, pair.Key); err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", pair.path, err))
		}
	}
	if s.TLS.PeerCA != "" {
		faults = append(faults, checkCA(s.TLS.PeerCA))
	}
	return errors.Join(faults...)
}

func checkCA(file string) error {
	pem, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("tls.peer_ca: %w", err)
	}
	if !x509.NewCertPool().AppendCertsFromPEM(pem) {
		return fmt.Errorf("tls.peer_ca: %s holds no certificate in PEM form", file)
	}
	return nil
}
