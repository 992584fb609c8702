package upstream

import (
	"bytes"
	"net"
	"regexp"
	"sync"
)

// maxHeader bounds the header of an answer in bytes, and unlimited is no bound.
const (
	maxHeader = 64 << 10
	unlimited = -1
)

// maxKeptHead is the size in bytes up to which the buffer of a head is used again.
const maxKeptHead = 2 * bufferSize

// headBuffers holds the buffers of heads that are read.
var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// headReader reads from a connection, at most left bytes while the header of an answer is read:
// package http has no bound of its own.
type headReader struct {
	nc   net.Conn
	left int
	// raw holds what the head was read from, nil before its first byte. Package http drops some
	// fields, in which the head may have been cut.
	raw *bytes.Buffer
}

func (h *headReader) Read(b []byte) (int, error) {
	if h.left == unlimited {
		return h.nc.Read(b)
	}
	if h.left == 0 {
		return 0, ErrLost.New("the header exceeds %d bytes", maxHeader)
	}
	n, err := h.nc.Read(b[:min(len(b), h.left)])
	h.left -= n
	h.keep(b[:n])
	return n, err
}

// begin begins a head, of which some bytes have been read already.
func (h *headReader) begin(read []byte) {
	h.left = maxHeader
	h.keep(read)
}

// end ends a head that is followed by unread bytes. It reports whether the head consists of a part
// of one and of all of another.
func (h *headReader) end(unread int) (joined bool) {
	h.left = unlimited
	if h.raw == nil {
		return false
	}
	joined = isJoined(h.raw.Bytes()[:h.raw.Len()-unread])
	if h.raw.Cap() <= maxKeptHead {
		h.raw.Reset()
		headBuffers.Put(h.raw)
	}
	h.raw = nil
	return joined
}

func (h *headReader) keep(b []byte) {
	if len(b) == 0 {
		return
	}
	if h.raw == nil {
		h.raw = headBuffers.Get().(*bytes.Buffer)
	}
	h.raw.Write(b)
}

// statusLineEnd matches a line that ends with a status line, as package http reads one.
var statusLineEnd = regexp.MustCompile(`[^\n]HTTP/[0-9]\.[0-9] +[0-9]{3}( [^\n]*)?\r?\n`)

// isJoined reports whether a head consists of a part of one and of all of another: the second
// status line then ends the line in which the first head was cut. A status line that begins a line
// is no field, which package http finds.
func isJoined(head []byte) bool {
	return bytes.Count(head, []byte("HTTP/")) > 1 && statusLineEnd.Match(head)
}
