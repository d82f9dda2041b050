package consensus

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// credentials hold this instance's certificate and the authority that verifies all other certificates, for connections
// between instances and with clients. Without files TLS is off, which the control file allows on loopback addresses
// only.
type credentials struct {
	cert, key, ca string
	current       atomic.Pointer[tls.Config]
}

func loadCredentials(cert, key, ca string) (*credentials, error) {
	c := &credentials{cert: cert, key: key, ca: ca}
	return c, c.reload()
}

func (c *credentials) tlsEnabled() bool { return c.cert != "" }

// reload reads the files again. After an error the previous certificates stay in use.
func (c *credentials) reload() error {
	if !c.tlsEnabled() {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return fmt.Errorf("certificate %s and key %s: %w", c.cert, c.key, err)
	}
	raw, err := os.ReadFile(c.ca)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return fmt.Errorf("authority %s: %w", c.ca, errNoCertificate)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return fmt.Errorf("certificate %s: %w", c.cert, err)
	}
	if time.Now().After(leaf.NotAfter) {
		return &CertificateExpiredError{c.cert, leaf.NotAfter}
	}
	c.current.Store(&tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool,
		ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert})
	return nil
}

// listen opens an address; with TLS it accepts only clients with a certificate of the authority.
func (c *credentials) listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil || !c.tlsEnabled() {
		return l, err
	}
	return tls.NewListener(l, &tls.Config{MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return c.current.Load(), nil }}), nil
}

// dial opens a connection to another instance.
func (c *credentials) dial(addr string, timeout time.Duration) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAlive: 5 * time.Second}
	if !c.tlsEnabled() {
		return d.Dial("tcp", addr)
	}
	conn, err := tls.DialWithDialer(d, "tcp", addr, c.current.Load())
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// scheme returns the URL scheme of client addresses.
func (c *credentials) scheme() string {
	if c.tlsEnabled() {
		return "https"
	}
	return "http"
}

// client returns an HTTP client for the client addresses of other instances.
func (c *credentials) client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute,
		DialContext:    func(_ context.Context, _, addr string) (net.Conn, error) { return c.dial(addr, time.Second) },
		DialTLSContext: func(_ context.Context, _, addr string) (net.Conn, error) { return c.dial(addr, time.Second) }}}
}
