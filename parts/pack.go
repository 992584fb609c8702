package parts

import (
	"bytes"
	"compress/flate"
	"io"
)

// packer deflates parts. Its writer takes 1.2 MB, so that a process keeps one.
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
	// A buffer takes all that is written to it.
	_, _ = p.w.Write(part)
	_ = p.w.Close()
	return buf.Bytes()
}

// unpacker inflates parts. Its reader takes 44 kB, which for each part of a large
// value would be garbage several times the value's size.
type unpacker struct {
	r   io.ReadCloser
	buf bytes.Buffer
}

// unpack returns a part, whose length is bounded whatever the sender packed.
func (u *unpacker) unpack(packed []byte) ([]byte, error) {
	src := bytes.NewReader(packed)
	if u.r == nil {
		u.r = flate.NewReader(src)
	} else if err := u.r.(flate.Resetter).Reset(src, nil); err != nil {
		return nil, ErrPart.Wrap(err, "reset")
	}
	u.buf.Reset()
	if _, err := u.buf.ReadFrom(io.LimitReader(u.r, most+1)); err != nil {
		return nil, ErrPart.Wrap(err, "%d bytes", len(packed))
	}
	if u.buf.Len() > most {
		return nil, ErrPart.New("longer than %d bytes", most)
	}
	return bytes.Clone(u.buf.Bytes()), nil
}
