package gossip

import (
	"time"

	"ebonypulley/catalog"
	"ebonypulley/parts"
	"ebonypulley/revision"
	"ebonypulley/wire"
)

const (
	// largeValueBytes is the size from which on a value is transferred in parts: more than
	// the published entry of a worker, less than a configuration of a hundred routes.
	largeValueBytes = 16 << 10
	// maxWantedParts bounds the parts requested at a time, and maxPartsBytes their compressed
	// bytes in one answer: 26 ms of a 10 Mbit/s link, so that the reports of work on the same
	// connection are not delayed.
	maxWantedParts = 16
	maxPartsBytes  = 32 << 10
	// fetchStallTimeout is how long a fetch may make no progress before another entry is
	// asked. It is the time that an answer of maxPartsBytes takes on a 10 Mbit/s link shared
	// by thirty connections.
	fetchStallTimeout = 800 * time.Millisecond
)

// fetch is a reply of another entry whose large values have not all arrived yet. It does no
// I/O and is not safe for concurrent use.
type fetch struct {
	peer  string
	reply *wire.Reply
	// values holds the incomplete values by their index in the reply.
	values map[int]*parts.Assembly
	began  time.Time
	// progress is when a part that was missing last arrived.
	progress time.Time
	// failed says that the sender can't complete it.
	failed bool
	bytes  int
}

// newFetch starts a fetch with the parts that this process already has, including those of an
// abandoned fetch.
func newFetch(now time.Time, peer string, reply *wire.Reply, local func(digest uint64) ([]byte, bool)) (*fetch, error) {
	f := &fetch{peer: peer, reply: reply, values: make(map[int]*parts.Assembly), began: now, progress: now}
	for i, e := range reply.Entries {
		f.bytes += len(e.Value)
		if e.Manifest == nil {
			continue
		}
		value, err := parts.NewAssembly(*e.Manifest, local)
		if err != nil {
			return nil, err
		}
		f.values[i] = value
	}
	return f, nil
}

// active reports whether more parts are expected; f may be nil.
func (f *fetch) active(now time.Time) bool {
	return f != nil && !f.failed && now.Sub(f.progress) <= fetchStallTimeout
}

// part returns a part that has arrived; f may be nil.
func (f *fetch) part(digest uint64) ([]byte, bool) {
	if f == nil {
		return nil, false
	}
	for _, v := range f.values {
		if part, ok := v.Part(digest); ok {
			return part, true
		}
	}
	return nil, false
}

// wanted returns the parts to request next.
func (f *fetch) wanted() (list []uint64) {
	for _, v := range f.values {
		list = append(list, v.Missing(maxWantedParts-len(list))...)
	}
	return list
}

// addParts adds parts that arrived. If there are none, or none that was missing, the fetch has
// failed: the sender has a newer value by now, which the next reply describes.
func (f *fetch) addParts(now time.Time, packed [][]byte) error {
	fresh := false
	for _, p := range packed {
		f.bytes += len(p)
		for _, v := range f.values {
			ok, err := v.Add(p)
			if err != nil {
				f.failed = true
				return err
			}
			fresh = fresh || ok
		}
	}
	f.failed = !fresh
	if fresh {
		f.progress = now
	}
	return nil
}

// entries returns the fetched entries once no part is missing.
func (f *fetch) entries() ([]catalog.Entry, error) {
	list := make([]catalog.Entry, 0, len(f.reply.Entries))
	for i, e := range f.reply.Entries {
		value := e.Value
		if v := f.values[i]; v != nil {
			whole, err := v.Value()
			if err != nil {
				return nil, err
			}
			value = whole
		}
		list = append(list, catalog.Entry{Key: e.Key, Value: value, Revision: revision.Revision{Era: f.reply.Era, Count: e.Revision}, Removed: e.Removed})
	}
	return list, nil
}
