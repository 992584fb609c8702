package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// attempt is one attempt of a client.
type attempt struct {
	method, host, path string
	header             map[string]string
	body               []byte
	deadline           time.Duration
}

// result is what the client has seen.
type result struct {
	id     string
	status int
	signed bool
	body   []byte
	err    error
	took   time.Duration
	// retryAfter is the refusal's Retry-After.
	retryAfter time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send makes one attempt at an entry, on a channel of its own.
func send(front string, a attempt) (res result) {
	res.id = newID()
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline)
	defer cancel()
	defer func() { res.took = time.Since(began) }()
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+a.host+a.path, bytes.NewReader(a.body))
	if err != nil {
		res.err = err
		return res
	}
	req.Header.Set("Attempt-Id", res.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	for name, value := range a.header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{
		DisableCompression: true, DisableKeepAlives: true, MaxResponseHeaderBytes: 1 << 20,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", front)
		},
	}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	res.status, res.signed = resp.StatusCode, resp.Header.Get("Response-Signature") != ""
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		res.retryAfter = time.Duration(s * float64(time.Second))
	}
	res.body, res.err = io.ReadAll(resp.Body)
	return res
}
