package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	headerSize = 5 // bytes: 4 of body length, 1 of kind
	// MaxFrame is the maximum length of a frame's body in bytes. It fits the
	// largest request body or configuration document with its other fields.
	MaxFrame = 4 << 20
)

var (
	wireErrors = errorx.NewNamespace("wire")
	// ErrFrame is returned for a frame that is too long, has an unknown kind
	// or can't be decoded. The connection must then be closed.
	ErrFrame = wireErrors.NewType("frame")
	// ErrClosed is returned for a send on a closed connection.
	ErrClosed = wireErrors.NewType("closed")
	// ErrFull is returned for a frame for which the memory budget has no room.
	ErrFull = wireErrors.NewType("full")
)

type encoder struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
}

var encoders = sync.Pool{New: func() any {
	e := new(encoder)
	e.enc = msgpack.NewEncoder(&e.buf)
	e.enc.UseArrayEncodedStructs(true)
	e.enc.UseCompactInts(true)
	return e
}}

// keepEncoder keeps an encoder for other messages, unless the last one was large.
func keepEncoder(e *encoder) {
	if e.buf.Cap() <= maxKeptBuffer {
		encoders.Put(e)
	}
}

// AppendFrame appends the frame of m to dst.
func AppendFrame(dst []byte, m Message) ([]byte, error) {
	e := encoders.Get().(*encoder)
	defer keepEncoder(e)
	e.buf.Reset()
	if err := e.enc.Encode(m); err != nil {
		return dst, ErrFrame.Wrap(err, "encode kind %d", m.Kind())
	}
	if e.buf.Len() > MaxFrame {
		return dst, ErrFrame.New("message of kind %d has %d bytes; the maximum is %d", m.Kind(), e.buf.Len(), MaxFrame)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(e.buf.Len()))
	dst = append(dst, byte(m.Kind()))
	return append(dst, e.buf.Bytes()...), nil
}

// Reader reads frames. It is not safe for concurrent use.
type Reader struct {
	r    *bufio.Reader
	head [headerSize]byte
	body []byte
	src  bytes.Reader
	dec  *msgpack.Decoder
	// account covers body.
	account *account
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return newReader(r, new(account)) }

func newReader(r io.Reader, a *account) *Reader {
	fr := &Reader{r: bufio.NewReaderSize(r, readBufferSize), account: a}
	fr.dec = msgpack.NewDecoder(&fr.src)
	return fr
}

const (
	readBufferSize = 4 << 10 // bytes
	// maxReadStep is the size in bytes of a body buffer before it grows to at most twice what
	// has arrived. It bounds the memory that a false length in a header can make a reader
	// allocate.
	maxReadStep = 64 << 10
	// maxKeptBuffer is the size in bytes of the largest buffer that is kept for
	// the next frame or write.
	maxKeptBuffer = 64 << 10
)

// Next returns the next message. The error is ErrFrame for a malformed frame, ErrFull for one
// for which the memory budget has no room, else that of the read: io.EOF if the stream ends
// between two frames.
func (r *Reader) Next() (Message, error) {
	if _, err := io.ReadFull(r.r, r.head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(r.head[:4]))
	if n > MaxFrame {
		return nil, ErrFrame.New("frame has %d bytes; the maximum is %d", n, MaxFrame)
	}
	m := newMessage(Kind(r.head[4]))
	if m == nil {
		return nil, ErrFrame.New("unknown kind %d", r.head[4])
	}
	defer r.freeBody()
	body, err := r.readBody(n)
	if err != nil {
		return nil, err
	}
	return m, r.decode(body, m)
}

// freeBody frees the body unless it is small enough to be kept for the next frame.
func (r *Reader) freeBody() {
	if cap(r.body) > r.account.maxKept() {
		r.body = nil
	}
	r.account.resize(cap(r.body))
}

func (r *Reader) decode(body []byte, m Message) error {
	if err := checkShape(body); err != nil {
		return errorx.Decorate(err, "kind %d", m.Kind())
	}
	r.src.Reset(body)
	r.dec.Reset(&r.src)
	if err := r.dec.Decode(m); err != nil {
		return ErrFrame.Wrap(err, "decode kind %d", m.Kind())
	}
	if r.src.Len() != 0 {
		return ErrFrame.New("%d trailing bytes after a message of kind %d", r.src.Len(), m.Kind())
	}
	return nil
}

// readBody reads n bytes into a buffer that grows only as they arrive. The result is valid
// until freeBody.
func (r *Reader) readBody(n int) ([]byte, error) {
	r.body = r.body[:0]
	for len(r.body) < n {
		if err := r.growBody(n); err != nil {
			return nil, err
		}
		at := len(r.body)
		r.body = r.body[:min(n, cap(r.body))]
		_, err := io.ReadFull(r.r, r.body[at:])
		if err == io.EOF {
			err = io.ErrUnexpectedEOF // the header has been read
		}
		if err != nil {
			return nil, err
		}
	}
	return r.body, nil
}

// growBody makes room for further bytes of a body of n bytes.
func (r *Reader) growBody(n int) error {
	if len(r.body) < cap(r.body) {
		return nil
	}
	size := min(n, max(2*cap(r.body), maxReadStep))
	if !r.account.resize(size) {
		return ErrFull.New("frame of %d bytes", n)
	}
	grown := make([]byte, len(r.body), size)
	copy(grown, r.body)
	r.body = grown
	return nil
}
