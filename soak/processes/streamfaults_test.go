package processes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/standin"
)

// TestExtraAnswerFollows guards against a play in which no worker sends an answer that nobody asked for.
func TestExtraAnswerFollows(t *testing.T) {
	k := startWorker(t)
	k.extraAnswers.Store(true)
	nc, err := net.Dial("tcp", k.proxy.addr())
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	require.NoError(t, nc.SetDeadline(time.Now().Add(10*time.Second)))
	req, err := http.NewRequest(http.MethodGet, "http://worker/api/report", http.NoBody)
	require.NoError(t, err)
	standin.SetRouterHeaders(req.Header, k.instanceID(), "")
	require.NoError(t, req.Write(nc))
	br := bufio.NewReader(nc)
	for _, want := range []string{`"runs"`, "answer to "} {
		resp, err := http.ReadResponse(br, req)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Contains(t, string(body), want)
	}
}

// TestPortOfWorkerStaysFree guards against workers whose port another connection of the machine takes while
// they are down.
func TestPortOfWorkerStaysFree(t *testing.T) {
	k := startWorker(t)
	k.proxy.stop()
	_, port, err := net.SplitHostPort(k.proxy.addr())
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:"+port)
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	assert.NoError(t, k.proxy.restart())
}

// TestSlowCallerReadsLargeEvents guards against a play whose callers take large events for wrong ones, or don't
// read slowly.
func TestSlowCallerReadsLargeEvents(t *testing.T) {
	k := &worker{}
	k.largeEvents.Store(true)
	text := ""
	for n := 1; n <= streamEvents; n++ {
		text += fmt.Sprintf("id: %d\n%sdata: %s\n\n", n, k.padding(), eventText("a", n, "v1", "r"))
	}
	assert.Greater(t, len(text), streamEvents*largeEvent)
	s := newStream(time.Now().Add(time.Minute), 1)
	s.readPause = time.Millisecond
	began := time.Now()
	require.NoError(t, s.read(strings.NewReader(text), "a", true))
	assert.GreaterOrEqual(t, time.Since(began), streamEvents*s.readPause)
}
