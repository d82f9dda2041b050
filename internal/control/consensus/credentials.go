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

// trust holds this instance's certificate and the authority of all others. It owns what is shown and whom is
// believed on every connection; without files there is none, which the operator's file allows on loopback
// addresses alone.
type credentials struct {
	cert, key, ca string
	current       atomic.Pointer[tls.Config]
}

func loadCredentials(cert, key, ca string) (*credentials, error) {
	t := &credentials{cert: cert, key: key, ca: ca}
	return t, t.reload()
}

func (t *credentials) enabled() bool { return t.cert != "" }

// reload reads the files again. Where one is bad nothing changes.
func (t *credentials) reload() error {
	if !t.enabled() {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(t.cert, t.key)
	if err != nil {
		return fmt.Errorf("certificate %s and key %s: %w", t.cert, t.key, err)
	}
	raw, err := os.ReadFile(t.ca)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return fmt.Errorf("authority %s: found no certificate, expected PEM", t.ca)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return fmt.Errorf("certificate %s: %w", t.cert, err)
	}
	if time.Now().After(leaf.NotAfter) {
		return fmt.Errorf("certificate %s: ended on %s", t.cert, leaf.NotAfter.Format(time.DateTime))
	}
	t.current.Store(&tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool,
		ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert})
	return nil
}

// listen opens an address; with files, for whoever shows a certificate of the authority's.
func (t *credentials) listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil || !t.enabled() {
		return l, err
	}
	return tls.NewListener(l, &tls.Config{MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return t.current.Load(), nil }}), nil
}

// dial opens a connection to another instance.
func (t *credentials) dial(addr string, within time.Duration) (net.Conn, error) {
	d := &net.Dialer{Timeout: within, KeepAlive: 5 * time.Second}
	if !t.enabled() {
		return d.Dial("tcp", addr)
	}
	c, err := tls.DialWithDialer(d, "tcp", addr, t.current.Load())
	if err != nil {
		return nil, err
	}
	return c, nil
}

// scheme and client are for calls to another instance's clients' address.
func (t *credentials) scheme() string {
	if t.enabled() {
		return "https"
	}
	return "http"
}

func (t *credentials) client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute,
		DialContext:    func(_ context.Context, _, addr string) (net.Conn, error) { return t.dial(addr, time.Second) },
		DialTLSContext: func(_ context.Context, _, addr string) (net.Conn, error) { return t.dial(addr, time.Second) }}}
}
