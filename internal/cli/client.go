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
	at    []string
	http  *http.Client
	web   string // http or https
	token string
	tries time.Duration // how long it retries
	json  bool
}

// access is what the flags of every command that sends requests to a group say.
type access struct {
	at, cert, key, ca, token string
	within                   time.Duration
	json                     bool
}

func (a *access) flags(c *cobra.Command) {
	f := c.PersistentFlags()
	f.StringVar(&a.at, "at", "127.0.0.1:7201", "where instances listen, separated by commas; each is tried in turn")
	f.StringVar(&a.cert, "certificate", "", "this client's certificate (PEM), where the group has TLS")
	f.StringVar(&a.key, "key", "", "its key (PEM)")
	f.StringVar(&a.ca, "authority", "", "the group's authority (PEM)")
	f.StringVar(&a.token, "token-file", "", "file with the token that [clients] requires")
	f.DurationVar(&a.within, "within", 15*time.Second, "how long to retry")
	f.BoolVar(&a.json, "json", false, "print JSON")
}

func (a *access) client() (*client, error) {
	c := &client{at: strings.Split(a.at, ","), web: "http", tries: a.within, json: a.json}
	transport := &http.Transport{ResponseHeaderTimeout: 20 * time.Second, MaxIdleConnsPerHost: 64}
	if a.ca != "" || a.cert != "" || a.key != "" {
		pair, err := tls.LoadX509KeyPair(a.cert, a.key)
		if err != nil {
			return nil, usage(fmt.Errorf("--certificate and --key: %w", err))
		}
		raw, err := os.ReadFile(a.ca)
		if err != nil {
			return nil, usage(fmt.Errorf("--authority: %w", err))
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(raw) {
			return nil, usage(fmt.Errorf("--authority: found no certificate in %s, expected PEM", a.ca))
		}
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool,
			Certificates: []tls.Certificate{pair}}
		c.web = "https"
	}
	if a.token != "" {
		raw, err := os.ReadFile(a.token)
		if err != nil {
			return nil, usage(fmt.Errorf("--token-file: %w", err))
		}
		c.token = strings.TrimSpace(string(raw))
	}
	c.http = &http.Client{Transport: transport}
	return c, nil
}

// errUnknown says that a request may or may not have had its effect. It stands also where each instance answered 503:
// some of those, as after a timeout or a change of leaders, leave open whether the request took effect.
var errUnknown = errors.New("no result from any instance: what was asked for may or may not have been done")

// refusal is a response that is not 200.
type refusal struct {
	code int
	consensus.Failure
	body []byte
}

func (r *refusal) Error() string { return r.Failure.Error }

// one sends a request to one instance.
func (c *client) one(ctx context.Context, at, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.web+"://"+at+path, bytes.NewReader(body))
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
	r := &refusal{code: res.StatusCode, body: raw}
	if json.Unmarshal(raw, &r.Failure) != nil || r.Failure.Error == "" {
		r.Failure.Error = fmt.Sprintf("%s: %s", res.Status, bytes.TrimSpace(raw))
	}
	return nil, r
}

// ask goes from instance to instance until one responds otherwise than 503.
func (c *client) ask(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	end := time.Now().Add(c.tries)
	var last error
	for round := 0; ; round++ {
		for _, at := range c.at {
			res, err := c.one(ctx, at, method, path, body)
			var r *refusal
			if err == nil || errors.As(err, &r) && r.code != http.StatusServiceUnavailable {
				return res, err
			}
			last = fmt.Errorf("%s: %w", at, err)
			if ctx.Err() != nil || time.Now().After(end) {
				return nil, fmt.Errorf("%w (the last: %w)", errUnknown, last)
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
	res, err := c.ask(ctx, http.MethodGet, path, nil)
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
	var a consensus.PutResult
	res, err := c.ask(ctx, http.MethodPut, "/v1/config", body)
	var r *refusal
	if errors.As(err, &r) && json.Unmarshal(r.body, &a) == nil && a.Outcome != "" {
		return a, nil
	}
	if err != nil {
		return a, err
	}
	defer res.Body.Close()
	return a, json.NewDecoder(res.Body).Decode(&a)
}

func newSession() string {
	var raw [12]byte
	rand.Read(raw[:]) // never fails
	return "cli-" + hex.EncodeToString(raw[:])
}
