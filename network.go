package ebonypulley

import (
	"context"
	"net"
	"net/http"
	"time"

	"ebonypulley/internal/answerhead"
)

// Dialer opens a connection, as net.Dialer.DialContext does. Daemons accept one so
// that tests can simulate a faulty network; nil means TCP.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

const (
	// dialTimeout bounds a connection attempt.
	dialTimeout = time.Second
	// keepAlive is the idle time before the first TCP keep-alive probe, and the
	// interval between probes. After keepAliveProbes without an answer the kernel
	// closes the connection.
	keepAlive       = 2 * time.Second
	keepAliveProbes = 3
)

// OrTCP returns d, or a TCP dialer for nil.
//
// The TCP dialer enables keep-alive probes. A middlebox may drop the state of a
// connection on which one end waits for an answer and which has no heartbeats of its
// own, such as one to a plain service. The probes then get no answer and the connection
// fails; without them the call would last until its deadline.
func (d Dialer) OrTCP() Dialer {
	if d != nil {
		return d
	}
	tcp := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAlive,
		Interval: keepAlive,
		Count:    keepAliveProbes,
	}}
	return tcp.DialContext
}

// maxIdleConnsPerHost is the number of idle keep-alive connections to one host.
const maxIdleConnsPerHost = 64

// HTTPClient returns an HTTP client that dials with d. With disableKeepAlives it opens
// a new connection for each request. An answer whose head is malformed is an error.
func (d Dialer) HTTPClient(disableKeepAlives bool) *http.Client {
	return &http.Client{Transport: checkedTransport{&http.Transport{
		DialContext:         d.OrTCP(),
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
	}}}
}

// checkedTransport is a transport that checks the heads of answers.
type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := answerhead.Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
