// Package engine defines the HTTP API of a model engine, with the client that
// agents use: OpenAI-style completions with kv_transfer_params for separate
// prefill and decode, and also load, cache events, resumable streams and orders.
package engine

import "time"

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Priority orders the work in the engine; higher values run first.
	Priority int         `json:"priority"`
	KV       *KVTransfer `json:"kv_transfer_params,omitempty"`
}

// KVTransfer describes the transfer of the KV cache of a request between
// engines.
type KVTransfer struct {
	// DoRemoteDecode asks a prefill engine to export its result.
	DoRemoteDecode bool `json:"do_remote_decode,omitempty"`
	// DoRemotePrefill asks a decode engine to use the imported result.
	DoRemotePrefill bool `json:"do_remote_prefill,omitempty"`
	// RemoteURL is the base URL of the engine that exported the result, and
	// RemoteHandle identifies the result there.
	RemoteURL    string `json:"remote_url,omitempty"`
	RemoteHandle string `json:"remote_handle,omitempty"`
	// RemoteBytes is the size of the result in bytes.
	RemoteBytes int64 `json:"remote_bytes,omitempty"`
	// ExpiresMS is the time left to fetch the result, in milliseconds.
	ExpiresMS int64 `json:"expires_ms,omitempty"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Choice is an alternative of an answer. Answers have exactly one.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Completion is the answer to a prefill request, or one event of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Choices []Choice `json:"choices"`
	// TokenIndex is the number of the event's token in the answer.
	TokenIndex int         `json:"token_index"`
	Usage      *Usage      `json:"usage,omitempty"`
	KV         *KVTransfer `json:"kv_transfer_params,omitempty"`
}

// ImportRequest is the body of POST /v1/kv/import, which returns when the KV
// cache has been transferred.
type ImportRequest struct {
	RequestID string `json:"request_id"`
	URL       string `json:"url"`
	Handle    string `json:"handle"`
	// BytesPerSecond is the transfer rate that the limit of the link allows.
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// KVExport is the answer to GET /v1/kv/{handle}, by which one engine fetches a
// result from another.
type KVExport struct {
	PromptTokens int   `json:"prompt_tokens"`
	Bytes        int64 `json:"bytes"`
	// State is the exported state. Only engines of the same model can read it.
	State []byte `json:"state"`
}

// Load is the answer to GET /v1/load. It may be out of date.
type Load struct {
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	Capacity      int `json:"capacity"`
	BacklogTokens int `json:"backlog_tokens"`
	// Epoch changes when the engine has lost its memory.
	Epoch uint64 `json:"epoch"`
}

// State is the answer to GET /v1/state: what the engine serves.
type State struct {
	Model string `json:"model"`
	Role  string `json:"role"`
	// Fence is the highest fencing number of an order that the engine accepted.
	Fence uint64 `json:"fence"`
	// Loading is set while an order is being carried out.
	Loading bool `json:"loading"`
}

// Order is the body of POST /v1/orders: a command to load a model or to change
// the role.
type Order struct {
	// Fence is the fencing number of the order. Engines that check it refuse an
	// order with a lower number than they have seen.
	Fence uint64 `json:"fence"`
	Model string `json:"model"`
	Role  string `json:"role"`
}

// Requests is the answer to GET /v1/requests: the requests for which the engine
// holds memory.
type Requests struct {
	IDs []string `json:"ids"`
}

// CacheEvent reports that a block of a prompt was added to the prefix cache or
// evicted from it.
type CacheEvent struct {
	// Seq is the number of the event. Gaps mean that events were lost.
	Seq uint64 `json:"seq"`
	// Stored is set if the block was added.
	Stored bool `json:"stored"`
	// Block is the hash of the block, as returned by BlockHashes.
	Block uint64 `json:"block"`
}

// CacheEvents is the answer to GET /v1/cache/events.
type CacheEvents struct {
	// Epoch is as in Load.
	Epoch  uint64       `json:"epoch"`
	Events []CacheEvent `json:"events"`
}

// Sizes on which engines and the router agree.
const (
	// BytesPerToken is the assumed number of bytes of a prompt token.
	BytesPerToken = 4
	// BlockTokens is the block size of the prefix cache in tokens.
	BlockTokens = 64
	// KVBytesPerToken is the size of one token's KV cache in bytes. It matches a
	// load of 14,000 requests per second that transfers 3,700 GB/s in total: 264 MB
	// a request, or about 2,000 tokens.
	KVBytesPerToken = 128 << 10
)

// EstimateTokens estimates the number of tokens of a text from its length.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// ExpiresIn returns the time left to fetch the result.
func (k *KVTransfer) ExpiresIn() time.Duration {
	return time.Duration(k.ExpiresMS) * time.Millisecond
}
