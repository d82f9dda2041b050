package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"umberwinch/internal/control/consensus"
)

// client sends requests to a group of control instances, trying each address in turn until one responds.
type client struct {
	addresses    []string
	http         *http.Client
	scheme       string // http or https
	token        string
	retryTimeout time.Duration // total time for retries of one request
	printJSON    bool
}

// clientOptions are the flags shared by all commands that send requests to a group.
type clientOptions struct {
	addresses, certFile, keyFile, caFile, tokenFile string
	retryTimeout                                    time.Duration
	printJSON                                       bool
}

func (o *clientOptions) addFlags(c *cobra.Command) {
	f := c.PersistentFlags()
	f.StringVar(&o.addresses, "at", "127.0.0.1:7201",
		"comma-separated client addresses (IP:PORT) of control instances, tried in turn")
	f.StringVar(&o.certFile, "certificate", "", "PEM file with the client certificate, for a group with TLS")
	f.StringVar(&o.keyFile, "key", "", "PEM file with the private key of --certificate")
	f.StringVar(&o.caFile, "authority", "", "PEM file with the CA certificates to verify instances by")
	f.StringVar(&o.tokenFile, "token-file", "", "file with the client token ([clients] token of the instances)")
	f.DurationVar(&o.retryTimeout, "within", 15*time.Second, "how long to retry a request that no instance responds to")
	f.BoolVar(&o.printJSON, "json", false, "print JSON")
}

func (o *clientOptions) client() (*client, error) {
	c := &client{addresses: strings.Split(o.addresses, ","), scheme: "http", retryTimeout: o.retryTimeout,
		printJSON: o.printJSON}
	transport := &http.Transport{ResponseHeaderTimeout: 20 * time.Second, MaxIdleConnsPerHost: 64}
	if o.caFile != "" || o.certFile != "" || o.keyFile != "" {
		pair, err := tls.LoadX509KeyPair(o.certFile, o.keyFile)
		if err != nil {
			return nil, usageError(fmt.Errorf("--certificate and --key: %w", err))
		}
		raw, err := os.ReadFile(o.caFile)
		if err != nil {
			return nil, usageError(fmt.Errorf("--authority: %w", err))
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(raw) {
			return nil, usageError(fmt.Errorf("--authority: found no certificate in %s, expected PEM", o.caFile))
		}
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool,
			Certificates: []tls.Certificate{pair}}
		c.scheme = "https"
	}
	if o.tokenFile != "" {
		raw, err := os.ReadFile(o.tokenFile)
		if err != nil {
			return nil, usageError(fmt.Errorf("--token-file: %w", err))
		}
		c.token = strings.TrimSpace(string(raw))
	}
	c.http = &http.Client{Transport: transport}
	return c, nil
}

// errOutcomeUnknown means that a request may or may not have taken effect. It also covers requests that every instance
// answered with 503, because a 503 after a timeout or a leader change leaves the outcome open.
var errOutcomeUnknown = errors.New("no response from any instance: the request may or may not have taken effect")

// errorResponse is a response with a status other than 200.
type errorResponse struct {
	status int
	consensus.ErrorResponse
	body []byte
}

func (r *errorResponse) Error() string { return r.ErrorResponse.Error }

// sendTo sends a request to one instance. A status other than 200 is returned as *errorResponse.
func (c *client) sendTo(ctx context.Context, address, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err != nil {
		return nil, err
	}
	r := &errorResponse{status: res.StatusCode, body: raw}
	if json.Unmarshal(raw, &r.ErrorResponse) != nil || r.ErrorResponse.Error == "" {
		r.ErrorResponse.Error = fmt.Sprintf("%s: %s", res.Status, bytes.TrimSpace(raw))
	}
	return nil, r
}

// send tries the instances in turn, with backoff between rounds, until one responds with a status other than 503.
func (c *client) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	deadline := time.Now().Add(c.retryTimeout)
	var lastErr error
	for round := 0; ; round++ {
		for _, address := range c.addresses {
			res, err := c.sendTo(ctx, address, method, path, body)
			var r *errorResponse
			if err == nil || errors.As(err, &r) && r.status != http.StatusServiceUnavailable {
				return res, err
			}
			lastErr = fmt.Errorf("%s: %w", address, err)
			if ctx.Err() != nil || time.Now().After(deadline) {
				return nil, fmt.Errorf("%w (last error: %w)", errOutcomeUnknown, lastErr)
			}
		}
		pause := time.NewTimer(min(50*time.Millisecond<<min(round, 4), 500*time.Millisecond))
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
}

// get requests a path and decodes the JSON response into a value.
func (c *client) get(ctx context.Context, path string, into any) error {
	res, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if out := res.Header.Get(consensus.HeaderOutOfContact); out != "" {
		fmt.Fprintln(os.Stderr, "warning: the response may be stale, its instance is out of contact:", out)
	}
	return json.NewDecoder(res.Body).Decode(into)
}

// put requests a new version. All retries carry the same session and sequence, so the put takes effect at most once.
func (c *client) put(ctx context.Context, p consensus.Put) (consensus.PutResult, error) {
	if p.Session == "" {
		p.Session, p.Seq = newSession(), 1
	}
	body, err := json.Marshal(p)
	if err != nil {
		return consensus.PutResult{}, err
	}
	var result consensus.PutResult
	res, err := c.send(ctx, http.MethodPut, "/v1/config", body)
	var r *errorResponse
	if errors.As(err, &r) && json.Unmarshal(r.body, &result) == nil && result.Outcome != "" {
		return result, nil
	}
	if err != nil {
		return result, err
	}
	defer res.Body.Close()
	return result, json.NewDecoder(res.Body).Decode(&result)
}

func newSession() string {
	var raw [12]byte
	rand.Read(raw[:]) // never fails
	return "cli-" + hex.EncodeToString(raw[:])
}
