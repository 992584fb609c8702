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

// unpack returns a part, whose length is bounded whatever the sender packed.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	part, err := io.ReadAll(io.LimitReader(r, most+1))
	if err != nil {
		return nil, ErrPart.Wrap(err, "%d bytes", len(packed))
	}
	if len(part) > most {
		return nil, ErrPart.New("longer than %d bytes", most)
	}
	return part, nil
}
