package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

const acceptedPair = "readable files in PEM format with a certificate and its key"

// fileIssues reads the TLS files and returns those that cannot be loaded. File
// names are relative to the working directory of the process.
func (s Settings) fileIssues() []issue {
	var c checker
	c.checkKeyPairFiles("tls.callers", s.TLS.Callers)
	c.checkKeyPairFiles("tls.peers", s.TLS.Peers)
	c.checkKeyPairFiles("tls.admin", s.TLS.Admin)
	if s.TLS.PeerCA != "" {
		c.checkAuthorityFile("tls.peer_ca", s.TLS.PeerCA)
	}
	return c.issues
}

func (c *checker) checkKeyPairFiles(path string, p KeyPair) {
	if p.Certificate == "" || p.Key == "" {
		return
	}
	if _, err := tls.LoadX509KeyPair(p.Certificate, p.Key); err != nil {
		c.add(path, err.Error(), acceptedPair)
	}
}

func (c *checker) checkAuthorityFile(path, file string) {
	pem, err := os.ReadFile(file)
	if err != nil {
		c.add(path, err.Error(), "a readable file in PEM format")
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(pem) {
		c.add(path, file+" holds no certificate", "a file in PEM format with a certificate")
	}
}
