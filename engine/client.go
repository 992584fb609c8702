package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
)

var (
	engineErrors = errorx.NewNamespace("engine")
	// ErrUnreachable is returned when the engine does not answer, or its answer
	// ends early.
	ErrUnreachable = engineErrors.NewType("unreachable")
	// ErrGone is returned when the engine does not have the request or the
	// result (any more).
	ErrGone = engineErrors.NewType("gone")
	// ErrRefused is returned for any other error status, and for an invalid
	// answer.
	ErrRefused = engineErrors.NewType("refused")
)

// maxReplySize is the maximum size in bytes of a reply that is not a stream.
const maxReplySize = 8 << 20

// Client is a client of one engine.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a Client of the engine at the URL base that sends its
// requests with h.
func NewClient(base string, h *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: h}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// do sends a request with a JSON body, or none if body is nil, and returns the
// answer if its status is a success.
func (c *Client) do(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, errorx.IllegalArgument.Wrap(err, "encode")
		}
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, r)
	if err != nil {
		return nil, errorx.IllegalArgument.Wrap(err, "request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "%s %s", method, path)
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return resp, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusGone {
		return nil, ErrGone.New("%s %s: %s", method, path, text)
	}
	return nil, ErrRefused.New("%s %s: %d %s", method, path, resp.StatusCode, text)
}

// call sends a request like do and decodes the JSON reply into out, or discards
// it if out is nil.
func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if out == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReplySize))
	} else {
		err = json.NewDecoder(io.LimitReader(resp.Body, maxReplySize)).Decode(out)
	}
	if err != nil {
		return ErrUnreachable.Wrap(err, "%s %s: reply", method, path)
	}
	return nil
}

// Prefill makes the engine compute and export the KV cache of a prompt.
func (c *Client) Prefill(ctx context.Context, req CompletionRequest) (Completion, error) {
	req.MaxTokens = 1
	req.KV = &KVTransfer{DoRemoteDecode: true}
	var out Completion
	err := c.call(ctx, http.MethodPost, "/v1/completions", req, &out)
	if err == nil && (out.KV == nil || out.Usage == nil) {
		err = ErrRefused.New("prefill reply without kv_transfer_params or usage")
	}
	return out, err
}

// ImportKV transfers an exported KV cache into the engine's memory.
func (c *Client) ImportKV(ctx context.Context, req ImportRequest) error {
	return c.call(ctx, http.MethodPost, "/v1/kv/import", req, nil)
}

// DropKV frees an exported result. One that is gone is no error.
func (c *Client) DropKV(ctx context.Context, handle string) error {
	return ignoreErrGone(c.call(ctx, http.MethodDelete, "/v1/kv/"+url.PathEscape(handle), nil, nil))
}

// Abort stops a request and frees all that the engine holds for it. A request
// that is gone is no error.
func (c *Client) Abort(ctx context.Context, id string) error {
	return ignoreErrGone(c.call(ctx, http.MethodDelete, "/v1/requests/"+url.PathEscape(id), nil, nil))
}

func ignoreErrGone(err error) error {
	if errorx.IsOfType(err, ErrGone) {
		return nil
	}
	return err
}

// Requests lists the requests that the engine holds memory for.
func (c *Client) Requests(ctx context.Context) (Requests, error) {
	var r Requests
	return r, c.call(ctx, http.MethodGet, "/v1/requests", nil, &r)
}

// Load returns the engine's load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	return l, c.call(ctx, http.MethodGet, "/v1/load", nil, &l)
}

// State returns what the engine serves.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	return s, c.call(ctx, http.MethodGet, "/v1/state", nil, &s)
}

// SendOrder sends an order to the engine.
func (c *Client) SendOrder(ctx context.Context, o Order) error {
	return c.call(ctx, http.MethodPost, "/v1/orders", o, nil)
}

// CacheEvents returns the cache events whose number is greater than after.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	var e CacheEvents
	return e, c.call(ctx, http.MethodGet, "/v1/cache/events?after="+strconv.FormatUint(after, 10), nil, &e)
}

// Stream is the event stream of an answer that is being generated.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

// Decode starts the generation for a request whose KV cache was imported.
func (c *Client) Decode(ctx context.Context, req CompletionRequest) (*Stream, error) {
	req.Stream = true
	req.KV = &KVTransfer{DoRemotePrefill: true}
	resp, err := c.do(ctx, http.MethodPost, "/v1/completions", req)
	if err != nil {
		return nil, err
	}
	return newStream(resp), nil
}

// Resume reopens the stream of a running request at token number from.
func (c *Client) Resume(ctx context.Context, id string, from int) (*Stream, error) {
	path := "/v1/streams/" + url.PathEscape(id) + "?from=" + strconv.Itoa(from)
	resp, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return newStream(resp), nil
}

// maxEventSize is the maximum size in bytes of a line of a stream.
const maxEventSize = 64 << 10

func newStream(resp *http.Response) *Stream {
	scan := bufio.NewScanner(resp.Body)
	scan.Buffer(nil, maxEventSize)
	return &Stream{body: resp.Body, scanner: scan}
}

// Close closes the stream; the engine continues the request.
func (s *Stream) Close() { _ = s.body.Close() }

// Next returns the next event. The error is io.EOF after the final event,
// ErrRefused for an invalid event, or ErrUnreachable if the stream ends early.
func (s *Stream) Next() (Completion, error) {
	for s.scanner.Scan() {
		data, ok := strings.CutPrefix(s.scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return Completion{}, io.EOF
		}
		var e Completion
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return Completion{}, ErrRefused.Wrap(err, "stream event")
		}
		if len(e.Choices) == 0 {
			return Completion{}, ErrRefused.New("stream event without a choice")
		}
		return e, nil
	}
	if err := s.scanner.Err(); err != nil {
		return Completion{}, ErrUnreachable.Wrap(err, "stream")
	}
	return Completion{}, ErrUnreachable.New("stream ended before its final event")
}

// FetchKV fetches an exported result. Engines call it on each other.
func (c *Client) FetchKV(ctx context.Context, handle string) (KVExport, error) {
	var x KVExport
	return x, c.call(ctx, http.MethodGet, "/v1/kv/"+url.PathEscape(handle), nil, &x)
}
