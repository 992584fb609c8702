package parts

// Assembly reassembles a value from parts that arrive in any order. It is not safe for
// concurrent use.
type Assembly struct {
	manifest Manifest
	parts    map[uint64][]byte
	unpacker unpacker
}

// NewAssembly starts a value with the parts that are available locally.
func NewAssembly(m Manifest, local func(digest uint64) ([]byte, bool)) (*Assembly, error) {
	if m.Size < 0 || m.Size > MaxValueBytes || len(m.Parts) > m.Size/minPartBytes+1 {
		return nil, ErrManifest.New("%d bytes in %d parts", m.Size, len(m.Parts))
	}
	a := &Assembly{manifest: m, parts: make(map[uint64][]byte, len(m.Parts))}
	for _, d := range m.Parts {
		if part, ok := local(d); ok {
			a.parts[d] = part
		}
	}
	return a, nil
}

// Missing returns at most n digests of parts that have not arrived.
func (a *Assembly) Missing(n int) (list []uint64) {
	listed := make(map[uint64]bool)
	for _, d := range a.manifest.Parts {
		if len(list) == n {
			break
		}
		if a.parts[d] == nil && !listed[d] {
			listed[d] = true
			list = append(list, d)
		}
	}
	return list
}

// Part returns a part that has arrived.
func (a *Assembly) Part(digest uint64) ([]byte, bool) {
	part, ok := a.parts[digest]
	return part, ok
}

// Add adds a compressed part, and reports whether it was missing.
func (a *Assembly) Add(packed []byte) (bool, error) {
	part, err := a.unpacker.unpack(packed)
	if err != nil {
		return false, err
	}
	d := digest(part)
	for _, wanted := range a.manifest.Parts {
		if wanted == d && a.parts[d] == nil {
			a.parts[d] = part
			return true, nil
		}
	}
	return false, nil
}

// Value returns the whole value once no part is missing. It checks the digest of the whole:
// if two parts had the same digest, or the sender's manifest was wrong, the result would be a
// configuration that nobody published.
func (a *Assembly) Value() ([]byte, error) {
	value := make([]byte, 0, a.manifest.Size)
	for _, d := range a.manifest.Parts {
		value = append(value, a.parts[d]...)
	}
	if len(value) != a.manifest.Size || digest(value) != a.manifest.Digest {
		return nil, ErrValue.New("%d of %d bytes", len(value), a.manifest.Size)
	}
	return value, nil
}
