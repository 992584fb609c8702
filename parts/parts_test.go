package parts_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ebonypulley/parts"
	"ebonypulley/revision"
)

// routes returns a value like a configuration with a number of routes.
func routes(version, n int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range n {
		id := uint32(i) * 2654435761
		fmt.Fprintf(&b, `{"name":"r-%08x","host":"app.example","path_prefix":"/%08x/","kind":"idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2,"sticky":false,"resumable":false,"target_gap_ms":300},`, id, id)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// fetch transfers a value from one index to a process that has another, and returns its cost.
func fetch(t require.TestingT, from *parts.Index, m parts.Manifest, here *parts.Index) (value []byte, packed, answers int) {
	a, err := parts.NewAssembly(m, here.Part)
	require.NoError(t, err)
	for len(a.Missing(1)) > 0 {
		answer := from.Packed(a.Missing(16), 32<<10)
		require.NotEmpty(t, answer)
		for _, p := range answer {
			fresh, err := a.Add(p)
			require.NoError(t, err)
			assert.True(t, fresh)
			packed += len(p)
		}
		answers++
	}
	value, err = a.Value()
	require.NoError(t, err)
	return value, packed, answers
}

// TestOnlyChangesAreFetched guards against a link that is filled with whole configurations,
// at 1,400 changes a day. A change of one route, of the version or of a route in the middle
// costs a few parts.
func TestOnlyChangesAreFetched(t *testing.T) {
	before, after := routes(1, 4000), routes(2, 4000)
	after = bytes.Replace(after, []byte("app.example"), []byte("new.example.org"), 1)
	middle := len(after) / 2
	after = append(after[:middle:middle], append([]byte("inserted"), after[middle:]...)...)
	from, here := parts.NewIndex(), parts.NewIndex()
	here.Add("config", revision.Revision{Count: 1}, before)
	m := from.Add("config", revision.Revision{Count: 2}, after)
	value, packed, answers := fetch(t, from, m, here)
	assert.Equal(t, after, value)
	assert.Less(t, packed, 16<<10)
	assert.Equal(t, 1, answers)
}

// TestWholeValueIsCompressed: an entry that starts fetches a whole configuration over the
// narrowest link, of 10 Mbit/s, in a fraction of the time available.
func TestWholeValueIsCompressed(t *testing.T) {
	from := parts.NewIndex()
	whole := routes(1, 4240)
	value, packed, answers := fetch(t, from, from.Add("config", revision.Revision{Count: 1}, whole), parts.NewIndex())
	assert.Equal(t, whole, value)
	t.Logf("%d bytes as %d in %d answers", len(whole), packed, answers)
	assert.Less(t, packed, len(whole)/4)
}

// TestFetchArbitraryValues: whatever the bytes and their changes, the value arrives whole or
// not at all.
func TestFetchArbitraryValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SliceOfN(rapid.Byte(), 0, 300)
		repeat := rapid.IntRange(0, 400)
		old := bytes.Repeat(piece.Draw(t, "old"), repeat.Draw(t, "times"))
		value := append(bytes.Clone(old), bytes.Repeat(piece.Draw(t, "more"), repeat.Draw(t, "more times"))...)
		from, here := parts.NewIndex(), parts.NewIndex()
		here.Add("k", revision.Revision{Count: 1}, old)
		got, _, _ := fetch(t, from, from.Add("k", revision.Revision{Count: 2}, value), here)
		assert.True(t, bytes.Equal(value, got))
	})
}

// TestInvalidParts: corrupt parts, a part that was not requested and a manifest that does not
// match its parts yield no value. A size that would exhaust memory is refused before anything
// is fetched.
func TestInvalidParts(t *testing.T) {
	x := parts.NewIndex()
	m := x.Add("k", revision.Revision{Count: 1}, routes(1, 100))
	other := x.Add("other", revision.Revision{Count: 1}, bytes.Repeat([]byte("other"), 100))
	nothing := func(uint64) ([]byte, bool) { return nil, false }
	a, err := parts.NewAssembly(m, nothing)
	require.NoError(t, err)
	_, err = a.Add([]byte("no deflated bytes"))
	assert.Error(t, err)
	fresh, err := a.Add(x.Packed(other.Parts, 1<<20)[0])
	assert.NoError(t, err)
	assert.False(t, fresh)
	_, err = a.Value()
	assert.Error(t, err)
	wrong := m
	wrong.Digest++
	b, err := parts.NewAssembly(wrong, x.Part)
	require.NoError(t, err)
	assert.Empty(t, b.Missing(1))
	_, err = b.Value()
	assert.Error(t, err)
	_, err = parts.NewAssembly(parts.Manifest{Size: parts.MaxValueBytes + 1}, nothing)
	assert.Error(t, err)
}

// TestValueReplacedDuringFetch: when a value changes during a fetch, the parts that the new
// value still has are sent and the others left out, so that the receiver asks again instead
// of waiting.
func TestValueReplacedDuringFetch(t *testing.T) {
	x := parts.NewIndex()
	old := x.Add("k", revision.Revision{Count: 1}, routes(1, 1000))
	x.Add("k", revision.Revision{Count: 2}, routes(2, 1000))
	assert.Len(t, x.Packed(old.Parts, 1<<20), len(old.Parts)-1)
	assert.Empty(t, x.Packed(old.Parts[:1], 1<<20))
}

func BenchmarkManifest(b *testing.B) {
	value := routes(1, 4240)
	b.SetBytes(int64(len(value)))
	for b.Loop() {
		parts.NewIndex().Add("k", revision.Revision{Count: 1}, value)
	}
}

func BenchmarkPacked(b *testing.B) {
	value := routes(1, 4240)
	b.SetBytes(int64(len(value)))
	for b.Loop() {
		x := parts.NewIndex()
		x.Packed(x.Add("k", revision.Revision{Count: 1}, value).Parts, 1<<30)
	}
}

// BenchmarkFetch assembles a value of 4,240 routes from its parts. It allocates 5.5 MB with a
// reader and a buffer for each part, 2.2 MB with one of each.
func BenchmarkFetch(b *testing.B) {
	x := parts.NewIndex()
	value := routes(1, 4240)
	m := x.Add("k", revision.Revision{Count: 1}, value)
	packed := x.Packed(m.Parts, 1<<30)
	b.SetBytes(int64(len(value)))
	b.ReportAllocs()
	for b.Loop() {
		a, err := parts.NewAssembly(m, func(uint64) ([]byte, bool) { return nil, false })
		require.NoError(b, err)
		for _, p := range packed {
			_, err := a.Add(p)
			require.NoError(b, err)
		}
		_, err = a.Value()
		require.NoError(b, err)
	}
}

// TestIndexIsBounded guards against an index that keeps the parts of all values that were ever
// published, also under keys that are gone, until the memory of a small VM is used up.
func TestIndexIsBounded(t *testing.T) {
	const values, size, maxKept = 40, 1 << 20, 8
	x := parts.NewIndex()
	first := make([]uint64, values)
	for i := range values {
		value := bytes.Repeat(fmt.Appendf(nil, "%08d", i), size/8)
		first[i] = x.Add(fmt.Sprint("key-", i), revision.Revision{Count: uint64(i + 1)}, value).Parts[0]
	}
	kept := 0
	for _, d := range first {
		if _, ok := x.Part(d); ok {
			kept++
		}
	}
	assert.LessOrEqual(t, kept, maxKept)
	_, ok := x.Part(first[values-1])
	assert.True(t, ok, "the last value is kept")
}

// TestLargestValue guards against a manifest that makes a process of a small VM assemble a value
// which takes, with its parts, most of its memory.
func TestLargestValue(t *testing.T) {
	const smallestVM = 88 << 20
	assert.LessOrEqual(t, 2*parts.MaxValueBytes, smallestVM/10, "the value and its parts")
}
