package parts

import (
	"sync"

	"ebonypulley/revision"
)

// Index holds the parts of the values that this process has, by digest. It is safe for
// concurrent use.
type Index struct {
	mu     sync.Mutex
	values map[string]*indexedValue
	packer packer
	// added counts the values added, bytes is the size of those in values.
	added uint64
	bytes int
}

type indexedValue struct {
	revision revision.Revision
	// addedAs is the number of values added before.
	addedAs  uint64
	manifest Manifest
	parts    map[uint64][]byte
	// packed caches compressed parts that were requested: one process sends the same ones to
	// dozens of others.
	packed map[uint64][]byte
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{values: make(map[string]*indexedValue)} }

// Add returns the manifest of a key's value at a revision, and indexes its parts in
// place of those of the key's former value. Beyond maxIndexBytes the values that were added
// first are dropped; whoever asks for their parts gets a new manifest.
func (x *Index) Add(key string, at revision.Revision, value []byte) Manifest {
	x.mu.Lock()
	defer x.mu.Unlock()
	old := x.values[key]
	if old != nil && old.revision == at {
		return old.manifest
	}
	v := &indexedValue{
		revision: at,
		addedAs:  x.added,
		manifest: Manifest{Size: len(value), Digest: digest(value)},
		parts:    make(map[uint64][]byte),
		packed:   make(map[uint64][]byte),
	}
	for _, part := range split(value) {
		d := digest(part)
		v.manifest.Parts = append(v.manifest.Parts, d)
		v.parts[d] = part
		if old != nil && old.packed[d] != nil {
			v.packed[d] = old.packed[d]
		}
	}
	x.remove(key)
	x.values[key] = v
	x.added++
	x.bytes += v.manifest.Size
	for x.bytes > maxIndexBytes && len(x.values) > 1 {
		x.remove(x.oldest())
	}
	return v.manifest
}

// remove removes the value of a key, if there is one. The caller holds x.mu.
func (x *Index) remove(key string) {
	if v := x.values[key]; v != nil {
		x.bytes -= v.manifest.Size
		delete(x.values, key)
	}
}

// oldest returns the key whose value was added first. The caller holds x.mu.
func (x *Index) oldest() (key string) {
	first := x.added
	for k, v := range x.values {
		if v.addedAs < first {
			key, first = k, v.addedAs
		}
	}
	return key
}

// Part returns a part of an indexed value.
func (x *Index) Part(d uint64) ([]byte, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, v := range x.values {
		if part, ok := v.parts[d]; ok {
			return part, true
		}
	}
	return nil, false
}

// Packed returns the requested parts in compressed form, as many as fit into about maxBytes
// and at least one. Parts that no indexed value has any more are left out.
func (x *Index) Packed(digests []uint64, maxBytes int) (list [][]byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	bytes := 0
	for _, d := range digests {
		packed := x.pack(d)
		if packed == nil {
			continue
		}
		if bytes > 0 && bytes+len(packed) > maxBytes {
			break
		}
		bytes += len(packed)
		list = append(list, packed)
	}
	return list
}

// pack returns a compressed part, nil if there is none. The caller holds x.mu.
func (x *Index) pack(d uint64) []byte {
	for _, v := range x.values {
		part, ok := v.parts[d]
		if !ok {
			continue
		}
		if v.packed[d] == nil {
			v.packed[d] = x.packer.pack(part)
		}
		return v.packed[d]
	}
	return nil
}
