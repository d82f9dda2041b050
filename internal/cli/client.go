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

// client sends requests to a group: it tries one instance after the other until one responds.
type client struct {
	addresses    []string
	http         *http.Client
	scheme       string // http or https
	token        string
	retryTimeout time.Duration // how long it retries
	printJSON    bool
}

// clientOptions is what the flags of every command that sends requests to a group say.
type clientOptions struct {
	addresses, certFile, keyFile, caFile, tokenFile string
	retryTimeout                                    time.Duration
	printJSON                                       bool
}

func (o *clientOptions) addFlags(c *cobra.Command) {
	f := c.PersistentFlags()
	f.StringVar(&o.addresses, "at", "127.0.0.1:7201", "where instances listen, separated by commas; each is tried in turn")
	f.StringVar(&o.certFile, "certificate", "", "this client's certificate (PEM), where the group has TLS")
	f.StringVar(&o.keyFile, "key", "", "its key (PEM)")
	f.StringVar(&o.caFile, "authority", "", "the group's authority (PEM)")
	f.StringVar(&o.tokenFile, "token-file", "", "file with the token that [clients] requires")
	f.DurationVar(&o.retryTimeout, "within", 15*time.Second, "how long to retry")
	f.BoolVar(&o.printJSON, "json", false, "print JSON")
}

func (o *clientOptions) client() (*client, error) {
	c := &client{addresses: strings.Split(o.addresses, ","), scheme: "http", retryTimeout: o.retryTimeout, printJSON: o.printJSON}
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

// errOutcomeUnknown says that a request may or may not have had its effect. It stands also where each instance answered 503:
// some of those, as after a timeout or a change of leaders, leave open whether the request took effect.
var errOutcomeUnknown = errors.New("no result from any instance: what was asked for may or may not have been done")

// errorResponse is a response that is not 200.
type errorResponse struct {
	status int
	consensus.Failure
	body []byte
}

func (r *errorResponse) Error() string { return r.Failure.Error }

// sendTo sends a request to one instance.
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
	if json.Unmarshal(raw, &r.Failure) != nil || r.Failure.Error == "" {
		r.Failure.Error = fmt.Sprintf("%s: %s", res.Status, bytes.TrimSpace(raw))
	}
	return nil, r
}

// send goes from instance to instance until one responds otherwise than 503.
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
				return nil, fmt.Errorf("%w (the last: %w)", errOutcomeUnknown, lastErr)
			}
		}
		pause := time.NewTimer(min(50*time.Millisecond<<min(round, 4), 500*time.Millisecond))
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
}

// get requests JSON.
func (c *client) get(ctx context.Context, path string, into any) error {
	res, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if out := res.Header.Get(consensus.HeaderOutOfContact); out != "" {
		fmt.Fprintln(os.Stderr, "careful: the instance that answered is out of touch:", out)
	}
	return json.NewDecoder(res.Body).Decode(into)
}

// put requests a new version. It retries under one number, so the put counts once however often it is sent.
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
