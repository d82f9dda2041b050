package consensus

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"umberwinch/internal/config"
)

// testAuthority is a certificate authority that writes its files into a test directory.
type testAuthority struct {
	key        *ecdsa.PrivateKey
	cert       *x509.Certificate
	dir        string
	lastSerial int64
}

func newAuthority(t *testing.T) *testAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &testAuthority{key: key, dir: t.TempDir(), lastSerial: 1}
	a.cert = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	a.write(t, "authority", a.cert, key)
	return a
}

func (a *testAuthority) path(name string) string { return filepath.Join(a.dir, name) }

func (a *testAuthority) write(t *testing.T, name string, c *x509.Certificate, key *ecdsa.PrivateKey) {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for path, block := range map[string]*pem.Block{name + ".pem": {Type: "CERTIFICATE", Bytes: der},
		name + ".key": {Type: "EC PRIVATE KEY", Bytes: raw}} {
		if err := os.WriteFile(a.path(path), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func (a *testAuthority) issue(t *testing.T, name, ip string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.lastSerial++
	a.write(t, name, &x509.Certificate{SerialNumber: big.NewInt(a.lastSerial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(ip)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}, key)
}

// Clients and peers without a certificate of the authority must be rejected, and a failed reload must leave the
// previous certificate in use.
func TestTLSRequiresCertificatesAndReloads(t *testing.T) {
	ca := newAuthority(t)
	useCertificate := func(c *config.Control) {
		host, _, _ := net.SplitHostPort(c.Peer)
		ca.issue(t, c.Name, host)
		c.Cert, c.Key, c.CA = ca.path(c.Name+".pem"), ca.path(c.Name+".key"), ca.path("authority.pem")
	}
	a, b := startInstance(t, "a", "new", useCertificate), startInstance(t, "b", "join", useCertificate)
	ca.issue(t, "client", "127.0.0.1")
	pair, err := tls.LoadX509KeyPair(ca.path("client.pem"), ca.path("client.key"))
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	raw, _ := os.ReadFile(ca.path("authority.pem"))
	pool.AppendCertsFromPEM(raw)
	for _, i := range []*instance{a, b} {
		i.scheme = "https"
		i.http = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool,
			Certificates: []tls.Certificate{pair}}}}
	}
	a.addVoter(b)
	if result := b.put("s", 1, 0); result.Outcome != PutCommitted {
		t.Fatalf("put = %+v, want %s", result, PutCommitted)
	}
	noCertificate := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	if _, err := noCertificate.Get("https://" + a.control.Listen + "/v1/status"); err == nil {
		t.Fatal("a client without a certificate got a response, want an error")
	}
	if c, err := net.Dial("tcp", a.control.Peer); err == nil {
		writeJSON(c, frameHello, Hello{Identity: Identity{ID: 9}})
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if kind, _, err := readFrame(c, 1000); err == nil {
			t.Fatalf("a peer without TLS got a frame of kind %d, want an error", kind)
		}
		c.Close()
	}
	if err := os.WriteFile(a.control.Cert, []byte("nothing"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := a.group.Reload(); err == nil {
		t.Fatal("Reload() of an invalid certificate succeeded, want an error")
	}
	if result := a.put("s", 2, 1); result.Outcome != PutCommitted {
		t.Fatalf("put after a failed reload = %+v, want %s", result, PutCommitted)
	}
	useCertificate(a.control)
	if err := a.group.Reload(); err != nil {
		t.Fatalf("Reload() of a valid certificate: %v", err)
	}
	b.stop() // forces a connection with the new certificate
	b.start()
	b.await("a leader and version 2", func(v *View) bool { return v.Leader != 0 && v.Version == 2 })
}
