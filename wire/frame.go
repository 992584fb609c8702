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
	headerBytes = 5 // 4 of length, 1 of kind
	// MaxFrame is the longest frame in bytes: the largest request body or
	// configuration document with room for its envelope.
	MaxFrame = 4 << 20
)

var (
	wireErrors = errorx.NewNamespace("wire")
	// ErrFrame is returned for a frame that is too long, of an unknown kind
	// or not decodable. The connection must be closed.
	ErrFrame = wireErrors.NewType("frame")
	// ErrClosed is returned for a connection that has ended.
	ErrClosed = wireErrors.NewType("closed")
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

// AppendFrame appends the frame of m to dst.
func AppendFrame(dst []byte, m Message) ([]byte, error) {
	e := encoders.Get().(*encoder)
	defer encoders.Put(e)
	e.buf.Reset()
	if err := e.enc.Encode(m); err != nil {
		return dst, ErrFrame.Wrap(err, "encode kind %d", m.Kind())
	}
	if e.buf.Len() > MaxFrame {
		return dst, ErrFrame.New("kind %d of %d bytes is longer than %d", m.Kind(), e.buf.Len(), MaxFrame)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(e.buf.Len()))
	dst = append(dst, byte(m.Kind()))
	return append(dst, e.buf.Bytes()...), nil
}

// Reader reads frames.
type Reader struct {
	r    *bufio.Reader
	head [headerBytes]byte
	body []byte
	src  bytes.Reader
	dec  *msgpack.Decoder
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	fr := &Reader{r: bufio.NewReaderSize(r, readBuffer)}
	fr.dec = msgpack.NewDecoder(&fr.src)
	return fr
}

const (
	readBuffer = 4 << 10
	// growStep bounds what a false length can make a reader allocate before
	// the bytes have arrived.
	growStep = 64 << 10
	// keepBody is the largest body buffer kept between frames.
	keepBody = 64 << 10
)

// Next returns the next message, io.EOF at a clean end, or ErrFrame.
func (r *Reader) Next() (Message, error) {
	if _, err := io.ReadFull(r.r, r.head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(r.head[:4]))
	if n > MaxFrame {
		return nil, ErrFrame.New("frame of %d bytes is longer than %d", n, MaxFrame)
	}
	m := newMessage(Kind(r.head[4]))
	if m == nil {
		return nil, ErrFrame.New("unknown kind %d", r.head[4])
	}
	body, err := r.read(n)
	if err != nil {
		return nil, err
	}
	return m, r.decode(body, m)
}

func (r *Reader) decode(body []byte, m Message) error {
	r.src.Reset(body)
	r.dec.Reset(&r.src)
	if err := r.dec.Decode(m); err != nil {
		return ErrFrame.Wrap(err, "decode kind %d", m.Kind())
	}
	if r.src.Len() != 0 {
		return ErrFrame.New("%d bytes behind a message of kind %d", r.src.Len(), m.Kind())
	}
	return nil
}

// read returns n bytes in a buffer that grows only as they arrive.
func (r *Reader) read(n int) ([]byte, error) {
	if cap(r.body) > keepBody {
		r.body = nil
	}
	r.body = r.body[:0]
	for len(r.body) < n {
		step := min(n-len(r.body), growStep)
		at := len(r.body)
		r.body = append(r.body, make([]byte, step)...)
		if _, err := io.ReadFull(r.r, r.body[at:]); err != nil {
			return nil, err
		}
	}
	return r.body, nil
}
