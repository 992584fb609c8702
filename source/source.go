// Package source reads what the operators publish over HTTP, the configuration document
// and the list of VMs. It never writes to these services.
package source

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley"
	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/membership"
	"ebonypulley/stall"
)

// VMState is the state of a VM as the platform reports it.
type VMState string

// States of a VM. One that is VMLeaving is about to be removed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one VM of the list. It has the name of its endpoint or entry.
type VM struct {
	Name  string  `json:"name"`
	State VMState `json:"state"`
}

// VMList is the body of the response to GET /v1/vms.
type VMList struct {
	VMs []VM `json:"vms"`
}

var (
	platformErrors = errorx.NewNamespace("platform")
	// ErrUnavailable is returned when a service of the platform does not
	// respond, or responds with an error or an invalid body.
	ErrUnavailable = platformErrors.NewType("unavailable")
)

// Timing of the reads.
//
// A watch without a response within WatchWait and watchMargin is cancelled, and the
// next one uses a new connection. Otherwise a published document would not arrive if
// the connection of the watch was silently lost; this way it takes 4 s at most, of the
// 5 s allowed. A document that arrives slowly is read to its end as long as no gap
// exceeds stallTimeout and the whole takes no more than maxReadTime: maxDocument then
// needs a twentieth of a link of 10 Mbit/s.
const (
	// WatchWait is how long the service holds a watch without a change (long poll).
	// Each watch is one read there: 920 entries make 307 reads per second.
	WatchWait     = 3 * time.Second
	watchMargin   = time.Second
	stallTimeout  = time.Second
	maxReadTime   = 15 * time.Second
	vmListTimeout = 5 * time.Second
	// vmInterval is the mean time between two reads of the VM list; it is jittered by
	// half of it either way.
	vmInterval = 2 * time.Second
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxDocument is the size limit of the service, in bytes.
	maxDocument = 1 << 20
)

// ConfigWatcher watches the configuration service and offers its documents to a store.
type ConfigWatcher struct {
	URL   string
	Store *config.Store
	Log   *event.Log
	// ShouldRead, if set, reports whether to read; it is called before each read. Processes
	// that receive the document from peers read only while those are silent.
	ShouldRead func() bool
	HTTP       *http.Client
}

// Run reads until ctx ends. The service may be unavailable or serve an old document
// for long; the store refuses older documents.
func (w *ConfigWatcher) Run(ctx context.Context) error {
	var etag string
	backoff := minBackoff
	unreachable := false
	for ctx.Err() == nil {
		if w.ShouldRead != nil && !w.ShouldRead() {
			ebonypulley.Sleep(ctx, maxBackoff/2)
			continue
		}
		text, next, err := w.fetch(ctx, etag)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if !unreachable {
				w.Log.Emit(event.ConfigUnreachable, event.Err(err))
			}
			unreachable = true
			ebonypulley.Sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if unreachable {
			w.Log.Emit(event.ConfigReachable)
		}
		unreachable = false
		backoff = minBackoff
		etag = next
		if text != nil {
			result, findings := w.Store.Offer("configuration service", text)
			config.LogOfferResult(w.Log, result, w.Store.Generation(), findings)
		}
		if etag == "" {
			ebonypulley.Sleep(ctx, WatchWait) // without an ETag there is nothing to watch
		}
	}
	return nil
}

func (w *ConfigWatcher) fetch(ctx context.Context, etag string) ([]byte, string, error) {
	wait := WatchWait
	if etag == "" {
		wait = 0
	}
	read := stall.Start(ctx, stall.Limits{FirstByte: wait + watchMargin, Idle: stallTimeout, Transfer: maxReadTime})
	defer read.End()
	q := url.Values{"etag": {etag}, "wait": {wait.String()}}
	resp, err := get(read.Context(), w.HTTP, w.URL+"/v1/config?"+q.Encode())
	if err != nil {
		return nil, "", read.Err(err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		if etag == "" {
			return nil, "", ErrUnavailable.New("no document is published")
		}
		return nil, etag, nil
	case http.StatusOK:
		text, err := io.ReadAll(io.LimitReader(read.Body(resp.Body), maxDocument+1))
		if err != nil || len(text) > maxDocument {
			return nil, "", ErrUnavailable.New("document incomplete or too large: %d bytes read: %v", len(text), read.Err(err))
		}
		return text, resp.Header.Get("ETag"), nil
	default:
		return nil, "", ErrUnavailable.New("status %d", resp.StatusCode)
	}
}

// VMWatcher polls the list of VMs and updates a membership view.
type VMWatcher struct {
	URL  string
	View *membership.View
	Log  *event.Log
	HTTP *http.Client
}

// Run reads until ctx ends. While the list can't be read, the last one remains.
func (w *VMWatcher) Run(ctx context.Context) error {
	unreachable := false
	for ctx.Err() == nil {
		err := w.fetch(ctx)
		if err != nil && !unreachable && ctx.Err() == nil {
			w.Log.Emit(event.VMListUnreachable, event.Err(err))
		}
		unreachable = err != nil
		ebonypulley.Sleep(ctx, vmInterval/2+rand.N(vmInterval))
	}
	return nil
}

func (w *VMWatcher) fetch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	resp, err := get(ctx, w.HTTP, w.URL+"/v1/vms")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var list VMList
	if resp.StatusCode != http.StatusOK {
		return ErrUnavailable.New("status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDocument)).Decode(&list); err != nil {
		return ErrUnavailable.Wrap(err, "decode VM list")
	}
	var leaving []string
	for _, vm := range list.VMs {
		if vm.State == VMLeaving {
			leaving = append(leaving, vm.Name)
		}
	}
	w.View.SetLeaving(leaving)
	return nil
}

func get(ctx context.Context, client *http.Client, target string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errorx.IllegalArgument.Wrap(err, "request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "read")
	}
	return resp, nil
}
