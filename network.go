package ebonypulley

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Dialer opens a connection, as net.Dialer.DialContext does. Daemons take one
// so that a test can put a faulty network in its place; nil means TCP.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// dialTimeout bounds a connection attempt.
const dialTimeout = time.Second

// OrTCP returns d, or a TCP dialer for nil.
func (d Dialer) OrTCP() Dialer {
	if d != nil {
		return d
	}
	tcp := &net.Dialer{Timeout: dialTimeout}
	return tcp.DialContext
}

// idleConns is the number of kept connections to one host.
const idleConns = 64

// HTTPClient returns a client over d. With fresh each request gets a
// connection of its own.
func (d Dialer) HTTPClient(fresh bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         d.OrTCP(),
		MaxIdleConnsPerHost: idleConns,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
	}}
}
