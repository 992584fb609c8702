package source_test

import (
	"bytes"
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/examples"
	"ebonypulley/internal/simnet"
	_ "ebonypulley/plugins"
	"ebonypulley/source"
	"ebonypulley/standin"
)

// TestLargeDocumentOnNarrowLink: a read of 0.9 MB over the bandwidth that requests leave
// on a link of 10 Mbit/s takes longer than the timeout of a watch. Only a stalled read
// may be cancelled early; otherwise each read would start over and the entry would never
// get the document.
func TestLargeDocumentOnNarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := simnet.New()
		n.SetBandwidth(func(process string) float64 {
			if process == "entry" {
				return 10e6 / 8 / 5
			}
			return 0
		})
		text := append(bytes.Clone(examples.Almaty), bytes.Repeat([]byte("// A comment of the operators.\n"), 30_000)...)
		ln, err := n.Listen("service", "service:1")
		require.NoError(t, err)
		server := &http.Server{Handler: standin.NewConfigService(text)}
		go func() { _ = server.Serve(ln) }()
		ctx, cancel := context.WithCancel(t.Context())
		w := &source.ConfigWatcher{URL: "http://service:1", Store: new(config.Store), Log: event.Nop(), HTTP: n.Dialer("entry").HTTPClient(true)}
		go func() { _ = w.Run(ctx) }()
		time.Sleep(5 * time.Second)
		assert.NotNil(t, w.Store.Current())
		cancel()
		_ = server.Close()
		n.Close()
		time.Sleep(10 * time.Second)
	})
}

// A configuration service sends no ETag, so that no watch is possible. It must be polled
// at intervals, not without a pause.
func TestServiceWithoutETagIsPolled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := simnet.New()
		ln, err := n.Listen("service", "service:1")
		require.NoError(t, err)
		var reads atomic.Int32
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			reads.Add(1)
			time.Sleep(time.Millisecond)
			_, _ = w.Write(examples.Almaty)
		})}
		go func() { _ = server.Serve(ln) }()
		ctx, cancel := context.WithCancel(t.Context())
		w := &source.ConfigWatcher{URL: "http://service:1", Store: new(config.Store), Log: event.Nop(), HTTP: n.Dialer("entry").HTTPClient(true)}
		go func() { _ = w.Run(ctx) }()
		time.Sleep(10*source.WatchWait + time.Second)
		assert.NotNil(t, w.Store.Current())
		assert.InDelta(t, 11, reads.Load(), 3, "as often as with watches")
		cancel()
		_ = server.Close()
		n.Close()
		time.Sleep(10 * time.Second)
	})
}
