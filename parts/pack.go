package parts

import (
	"bytes"
	"compress/flate"
	"io"
)

// packer compresses parts. Its writer takes 1.2 MB of memory, so a process keeps one.
type packer struct {
	w *flate.Writer
}

func (p *packer) pack(part []byte) []byte {
	var buf bytes.Buffer
	if p.w == nil {
		w, err := flate.NewWriter(&buf, flate.BestSpeed)
		if err != nil {
			panic(err) // the level is a constant
		}
		p.w = w
	}
	p.w.Reset(&buf)
	// Writing to a bytes.Buffer does not fail.
	_, _ = p.w.Write(part)
	_ = p.w.Close()
	return buf.Bytes()
}

// unpacker decompresses parts. Its reader takes 44 kB; a new one for each part of a large
// value would allocate several times the value's size.
type unpacker struct {
	r   io.ReadCloser
	buf bytes.Buffer
}

// unpack decompresses a part. It bounds the size of the result, whatever the sender packed.
func (u *unpacker) unpack(packed []byte) ([]byte, error) {
	src := bytes.NewReader(packed)
	if u.r == nil {
		u.r = flate.NewReader(src)
	} else if err := u.r.(flate.Resetter).Reset(src, nil); err != nil {
		return nil, ErrPart.Wrap(err, "reset")
	}
	u.buf.Reset()
	if _, err := u.buf.ReadFrom(io.LimitReader(u.r, maxPartBytes+1)); err != nil {
		return nil, ErrPart.Wrap(err, "%d bytes", len(packed))
	}
	if u.buf.Len() > maxPartBytes {
		return nil, ErrPart.New("longer than %d bytes", maxPartBytes)
	}
	return bytes.Clone(u.buf.Bytes()), nil
}
