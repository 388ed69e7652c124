package entry

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/settings"
)

// authority is a certificate authority for tests.
type authority struct {
	dir, file   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	a := &authority{dir: t.TempDir(), certificate: certificate, key: key, pool: x509.NewCertPool()}
	a.pool.AddCert(certificate)
	a.file = a.write(t, "ca.crt", "CERTIFICATE", der)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	file := filepath.Join(a.dir, name)
	assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

// issue writes a certificate and its key for a member on the loopback address.
func (a *authority) issue(t *testing.T, name string) settings.KeyPair {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	return settings.KeyPair{
		Certificate: a.write(t, name+".crt", "CERTIFICATE", der), Key: a.write(t, name+".key", "EC PRIVATE KEY", private),
	}
}
