package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/upstream"
)

// TestOddKeepAlive guards against an idle timeout of years, whose connections are kept until those
// of all other endpoints have been closed for them.
func TestOddKeepAlive(t *testing.T) {
	for _, timeout := range []string{"9223372036", "1000000000000000000", "9223372036854775807", "18446744073709551616", "-9223372036854775808", "1e300", "NaN", strings.Repeat("9", 4000)} {
		synctest.Test(t, func(t *testing.T) {
			dialed := 0
			pool := upstream.NewPool(func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				dialed++
				go func() {
					br := bufio.NewReader(far)
					for readRequest(t, br) != nil {
						_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout="+timeout+"\r\nContent-Length: 0\r\n\r\n")
					}
				}()
				return near, nil
			})
			defer pool.Close()
			call := func() {
				resp, err := pool.Do(t.Context(), upstream.Target{ID: "e", Addr: "e:1"}, &upstream.Request{Method: http.MethodGet, URI: "/", Host: "e"})
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, resp)
				require.NoError(t, err)
				resp.Close()
			}
			call()
			time.Sleep(10 * time.Minute)
			call()
			assert.Equal(t, 2, dialed, timeout)
		})
	}
}

// TestErrorsQuoteLittle guards against lines of the log of as many bytes as an answer's head may have.
func TestErrorsQuoteLittle(t *testing.T) {
	long := strings.Repeat("\x01", 50<<10)
	for _, head := range []string{long + "\r\n\r\n", "HTTP/1.1 " + long + "\r\n\r\n", "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("9", 50<<10) + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.Repeat("x", 50<<10) + "\r\n\r\n", "HTTP/9" + strings.Repeat("9", 50<<10) + " 200 OK\r\n\r\n"} {
		target, _ := serveConns(t, func(_ int, c net.Conn) {
			if readRequest(t, bufio.NewReader(c)) != nil {
				_, _ = io.WriteString(c, head)
			}
		})
		_, err := upstream.NewPool(nil).Do(t.Context(), target, &upstream.Request{Method: http.MethodGet, URI: "/", Host: "e"})
		require.Error(t, err)
		assert.Less(t, len(err.Error()), 1<<10, head[:20])
	}
}
