package gossip

import (
	"time"

	"go.uber.org/zap"

	"ebonypulley/catalog"
	"ebonypulley/event"
	"ebonypulley/revision"
	"ebonypulley/wire"
)

// Fetching reports whether published values are being fetched from another entry. Reading
// them from the store at the same time would only slow both down.
func (n *Node) Fetching() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fetch.active(time.Now())
}

// AwaitPeers reports whether to wait longer for published entries from others, rather than
// list the store; waited is how long this entry has waited so far.
func (n *Node) AwaitPeers(waited time.Duration) bool { return shouldWait(waited, n.IsReader()) }

// IsReader reports whether this entry reads the store for its data centre.
func (n *Node) IsReader() bool { return n.reader(time.Now()) == n.self.Addr }

// reader returns the entry that reads the store for this one's data centre.
func (n *Node) reader(now time.Time) string {
	own := StoreAccess{LinkMbps: n.self.LinkMbps, StoreFailed: n.StoreFailed()}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.SetStoreAccess(n.self.Addr, own)
	return n.members.Reader(now)
}

// sourceToAsk returns the entry to ask for published entries, empty for none.
func (n *Node) sourceToAsk(now time.Time) string {
	behind, reader := n.Behind(), n.reader(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fetch.active(now) {
		return ""
	}
	return n.source.Choose(now, reader, behind, func() []Candidate { return n.candidates(now) })
}

// candidates returns the entries that are alive. The caller holds n.mu.
func (n *Node) candidates(now time.Time) []Candidate {
	own := n.catalog.Revision()
	alive := n.members.Alive(now)
	list := make([]Candidate, 0, len(alive))
	for _, addr := range alive {
		list = append(list, Candidate{Addr: addr, SameDataCentre: n.members.dataCentres[addr] == n.self.DataCentre, LinkMbps: n.members.LinkMbps(addr), Ahead: n.revisions[addr].After(own)})
	}
	return list
}

// recordRevision records the catalog revision of an entry.
func (n *Node) recordRevision(addr string, at revision.Revision) {
	if !isRevision(at.Era, at.Count) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.revisions[addr] = at
}

// eraAnswer is the last answer to an entry that asked from a former era.
type eraAnswer struct {
	asked revision.Revision
	at    time.Time
}

// repeatAnswerInterval is the pause before the same request from a former era is answered
// again.
const repeatAnswerInterval = 2 * time.Second

// mayAnswer reports whether to answer a request for published entries.
//
// Entries of a version without eras take the revisions of a new era for old ones and ask for
// all of its entries ten times a second, endlessly. An entry that knows eras asks from the
// new one next time.
func (n *Node) mayAnswer(now time.Time, from string, asked, own revision.Revision) bool {
	if asked.Era == own.Era {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if last := n.eraAnswers[from]; last.asked == asked && now.Sub(last.at) < repeatAnswerInterval {
		return false
	}
	n.eraAnswers[from] = eraAnswer{asked: asked, at: now}
	return true
}

// addPublishedSince adds to a reply what is newer than a revision.
func (n *Node) addPublishedSince(reply *wire.Reply, after revision.Revision) {
	entries, upTo, keys := n.catalog.ChangesSince(after)
	reply.Era, reply.UpTo, reply.Keys = upTo.Era, upTo.Count, keys
	n.addPublished(reply, entries)
}

// addPublished adds published entries to a reply, large values by their manifest.
func (n *Node) addPublished(reply *wire.Reply, entries []catalog.Entry) {
	for _, e := range entries {
		p := wire.PublishedEntry{Key: e.Key, Value: e.Value, Revision: e.Revision.Count, Removed: e.Removed}
		if len(e.Value) >= largeValueBytes {
			m := n.index.Add(e.Key, e.Revision, e.Value)
			p.Value, p.Manifest = nil, &m
		}
		reply.Entries = append(reply.Entries, p)
		n.Metrics.Add("published_bytes_out", int64(len(p.Value)))
	}
	n.Metrics.Add("published_answers_out", 1)
}

// handlePartsRequest returns the requested parts of large values.
func (n *Node) handlePartsRequest(m *wire.PartsRequest) *wire.Parts {
	packed := n.index.Packed(m.Digests, maxPartsBytes)
	for _, p := range packed {
		n.Metrics.Add("published_bytes_out", int64(len(p)))
	}
	return &wire.Parts{Packed: packed}
}

// handlePublished handles the published entries in a reply, and requests the parts of large
// values.
func (n *Node) handlePublished(addr string, r *wire.Reply, c *wire.Conn) {
	if r.UpTo == 0 && !r.Corrects || r.Era < n.catalog.Revision().Era {
		return // knowledge from a former era is obsolete
	}
	if !hasSoundRevisions(r) {
		n.Metrics.Add("peer_reports_refused", 1)
		return
	}
	n.indexOwnValues(r.Entries)
	now := time.Now()
	n.finishFetch(now, n.beginFetch(now, addr, r, c))
}

// beginFetch starts the fetch of a reply, and returns it if it is complete at once.
func (n *Node) beginFetch(now time.Time, addr string, r *wire.Reply, c *wire.Conn) *fetch {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fetch.active(now) {
		return nil // a late answer to an earlier request
	}
	abandoned := n.fetch
	f, err := newFetch(now, addr, r, func(digest uint64) ([]byte, bool) {
		if part, ok := abandoned.part(digest); ok {
			return part, true
		}
		return n.index.Part(digest)
	})
	if err != nil {
		n.log.Emit(event.FetchFailed, zap.String("peer", addr), event.Err(err))
		return nil
	}
	n.fetch = f
	return n.continueFetch(c)
}

// indexOwnValues indexes the parts of this entry's own versions of large values, which are
// likely to share parts with the newer ones.
func (n *Node) indexOwnValues(entries []wire.PublishedEntry) {
	for _, e := range entries {
		if e.Manifest == nil {
			continue
		}
		if own, ok := n.catalog.Get(e.Key); ok {
			n.index.Add(own.Key, own.Revision, own.Value)
		}
	}
}

// handleParts handles parts of large values.
func (n *Node) handleParts(addr string, m *wire.Parts, c *wire.Conn) {
	now := time.Now()
	n.finishFetch(now, n.addParts(now, addr, m, c))
}

// addParts adds parts to the fetch, and returns it if they complete it.
func (n *Node) addParts(now time.Time, addr string, m *wire.Parts, c *wire.Conn) *fetch {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fetch == nil || n.fetch.peer != addr {
		return nil // abandoned meanwhile
	}
	if err := n.fetch.addParts(now, m.Packed); err != nil {
		n.log.Emit(event.FetchFailed, zap.String("peer", addr), event.Err(err))
		return nil
	}
	if n.fetch.failed {
		return nil
	}
	n.source.RecordProgress(now, addr)
	return n.continueFetch(c)
}

// continueFetch requests what the fetch still lacks, or returns it if it is complete. The
// caller holds n.mu.
func (n *Node) continueFetch(c *wire.Conn) *fetch {
	f := n.fetch
	wanted := f.wanted()
	if len(wanted) == 0 {
		n.fetch = nil
		return f
	}
	// If the connection has ended, the fetch stalls and another entry is asked.
	_ = c.Send(&wire.PartsRequest{Digests: wanted})
	return nil
}

// finishFetch merges the entries of a complete fetch; f may be nil.
func (n *Node) finishFetch(now time.Time, f *fetch) {
	if f == nil {
		return
	}
	entries, err := f.entries()
	if err != nil {
		n.log.Emit(event.FetchFailed, zap.String("peer", f.peer), event.Err(err))
		return
	}
	n.Metrics.Add("published_answers_in", 1)
	n.Metrics.Add("published_bytes_in", int64(f.bytes))
	took := now.Sub(f.began)
	updated := n.mergeFetched(now, took, f.reply, entries)
	if len(updated) == 0 {
		return
	}
	n.recordProgress(now, f.peer)
	for _, e := range updated {
		if len(e.Value) >= largeValueBytes {
			n.index.Add(e.Key, e.Revision, e.Value)
		}
	}
	n.log.Emit(event.PublishedEntriesFetched, zap.String("peer", f.peer), zap.Int("entries", len(updated)), zap.Stringer("revision", f.reply.CompleteTo()),
		zap.Int("bytes", f.bytes), zap.Duration("took", took))
}

// mergeFetched merges the entries of a reply into the catalog, and returns those that were
// new.
func (n *Node) mergeFetched(now time.Time, took time.Duration, r *wire.Reply, entries []catalog.Entry) []catalog.Entry {
	if r.Corrects {
		return n.catalog.Merge(now, entries, revision.Revision{})
	}
	updated := n.catalog.Merge(now, entries, r.CompleteTo())
	if r.Keys != nil {
		updated = append(updated, n.catalog.RemoveExcept(now, r.Keys, r.At())...)
	}
	if r.Age >= 0 && r.Age <= maxCopyAge {
		n.OnReceive(r.Age + took)
	}
	return updated
}

// recordProgress records that an entry sent something new.
func (n *Node) recordProgress(now time.Time, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.source.RecordProgress(now, addr)
}
