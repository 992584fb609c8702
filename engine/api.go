// Package engine is the HTTP interface of a model engine as an agent uses it:
// OpenAI-style completions with kv_transfer_params for separate prefill and
// decode, and beside them load, cache events, resumable streams and orders.
package engine

import "time"

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Priority orders work in the engine; higher goes first.
	Priority int         `json:"priority"`
	KV       *KVTransfer `json:"kv_transfer_params,omitempty"`
}

// KVTransfer tells where the KV cache of a request goes to or comes from.
type KVTransfer struct {
	// DoRemoteDecode asks a prefill engine to export its result.
	DoRemoteDecode bool `json:"do_remote_decode,omitempty"`
	// DoRemotePrefill asks a decode engine to use the imported result.
	DoRemotePrefill bool `json:"do_remote_prefill,omitempty"`
	// RemoteURL and RemoteHandle name an exported result.
	RemoteURL    string `json:"remote_url,omitempty"`
	RemoteHandle string `json:"remote_handle,omitempty"`
	// RemoteBytes is its size.
	RemoteBytes int64 `json:"remote_bytes,omitempty"`
	// ExpiresMS is the time left to fetch it, in milliseconds.
	ExpiresMS int64 `json:"expires_ms,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Choice is one alternative of an answer; there is always one.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Completion is the answer to a prefill and each event of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Choices []Choice `json:"choices"`
	// TokenIndex is the number of the event's token in the answer.
	TokenIndex int         `json:"token_index"`
	Usage      *Usage      `json:"usage,omitempty"`
	KV         *KVTransfer `json:"kv_transfer_params,omitempty"`
}

// ImportRequest is the body of POST /v1/kv/import. The call returns when the
// KV cache has arrived.
type ImportRequest struct {
	RequestID string `json:"request_id"`
	URL       string `json:"url"`
	Handle    string `json:"handle"`
	// BytesPerSecond is the rate that the link's owner allows.
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// Exported is the answer to GET /v1/kv/{handle}: the claim of a result.
type Exported struct {
	PromptTokens int   `json:"prompt_tokens"`
	Bytes        int64 `json:"bytes"`
	// State is opaque to all but engines of the same model.
	State []byte `json:"state"`
}

// Load is the answer to GET /v1/load. It lags.
type Load struct {
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	Capacity      int `json:"capacity"`
	BacklogTokens int `json:"backlog_tokens"`
	// Epoch changes when the engine lost its memory.
	Epoch uint64 `json:"epoch"`
}

// State is the answer to GET /v1/state: what the engine serves.
type State struct {
	Model string `json:"model"`
	Role  string `json:"role"`
	Fence uint64 `json:"fence"`
	// Loading says that an order is still being carried out.
	Loading bool `json:"loading"`
}

// Order is the body of POST /v1/orders.
type Order struct {
	// Fence is the fencing number; engines that check it refuse an order
	// with a lower one than they have seen.
	Fence uint64 `json:"fence"`
	Model string `json:"model"`
	Role  string `json:"role"`
}

// Requests is the answer to GET /v1/requests: what the engine holds.
type Requests struct {
	IDs []string `json:"ids"`
}

// CacheEvent tells that a block of a prompt entered or left the prefix cache.
// Numbers have gaps where events were lost.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Stored bool   `json:"stored"`
	Block  uint64 `json:"block"`
}

// CacheEvents is the answer to GET /v1/cache/events.
type CacheEvents struct {
	Epoch  uint64       `json:"epoch"`
	Events []CacheEvent `json:"events"`
}

// Sizes that engines and the router share.
const (
	// BytesPerToken is the estimate of a prompt's tokens from its bytes.
	BytesPerToken = 4
	// BlockTokens is the unit of the prefix cache.
	BlockTokens = 64
	// KVBytesPerToken is the size of the KV cache of one token: 14,000
	// requests a second with 3,700 GB/s is 264 MB a request.
	KVBytesPerToken = 128 << 10
)

// CountTokens estimates the tokens of a text.
func CountTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// ExpiresIn returns the time left to fetch an exported result.
func (k *KVTransfer) ExpiresIn() time.Duration {
	return time.Duration(k.ExpiresMS) * time.Millisecond
}
