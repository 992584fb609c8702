package gossip

import (
	"time"

	"go.uber.org/zap"

	"ebonypulley/catalog"
	"ebonypulley/event"
	"ebonypulley/revision"
	"ebonypulley/wire"
)

// Receiving reports whether published values are on their way from another
// entry, so that reading them from the platform too would only slow both down.
func (n *Node) Receiving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fetch.alive(time.Now())
}

// Expects reports whether others may still tell this entry, which has waited for some time since
// it began to list.
func (n *Node) Expects(waited time.Duration) bool { return expects(waited, n.Reads()) }

// Reads reports whether this entry reads the platform for its data centre.
func (n *Node) Reads() bool { return n.reader(time.Now()) == n.self.Addr }

// reader returns the entry that reads the platform for this one's data centre.
func (n *Node) reader(now time.Time) string {
	own := Way{Link: n.self.Link, NoStore: n.NoStore()}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.SetWay(n.self.Addr, own)
	return n.members.Reader(now)
}

// asked returns the entry that is to hand on what is published, empty for none.
func (n *Node) asked(now time.Time) string {
	behind, reader := n.Behind(), n.reader(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fetch.alive(now) {
		return ""
	}
	return n.source.Choose(now, reader, behind, func() []Candidate { return n.candidates(now) })
}

// candidates returns the living entries; n.mu is held.
func (n *Node) candidates(now time.Time) []Candidate {
	own := n.catalog.Revision()
	living := n.members.Living(now)
	list := make([]Candidate, 0, len(living))
	for _, addr := range living {
		list = append(list, Candidate{Addr: addr, Near: n.members.where[addr] == n.self.DataCentre, Link: n.members.Link(addr), Ahead: n.revisions[addr].After(own)})
	}
	return list
}

// heardRevision notes how far the catalog of an entry is.
func (n *Node) heardRevision(addr string, at revision.Revision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.revisions[addr] = at
}

// answered is the last answer to one that asked from an era that is over.
type answered struct {
	asked revision.Revision
	at    time.Time
}

// answerAgain is the pause before the same question from an era that is over is answered again.
const answerAgain = 2 * time.Second

// mayAnswer reports whether to answer a question for what is published.
//
// Entries of a version that knows no eras take the revisions of a new one for old, and ask for
// all that it has ten times a second, for ever. One that knows eras asks from there next time.
func (n *Node) mayAnswer(now time.Time, from string, asked, own revision.Revision) bool {
	if asked.Era == own.Era {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if last := n.answered[from]; last.asked == asked && now.Sub(last.at) < answerAgain {
		return false
	}
	n.answered[from] = answered{asked: asked, at: now}
	return true
}

// publish adds to a reply what is newer than a revision.
func (n *Node) publish(reply *wire.Reply, after revision.Revision) {
	entries, upTo, keys := n.catalog.Since(after)
	reply.Era, reply.UpTo, reply.Keys = upTo.Era, upTo.Count, keys
	n.addPublished(reply, entries)
}

// addPublished adds entries to a reply, large values by manifest.
func (n *Node) addPublished(reply *wire.Reply, entries []catalog.Entry) {
	for _, e := range entries {
		p := wire.Published{Key: e.Key, Value: e.Value, Revision: e.Revision.Count, Removed: e.Removed}
		if len(e.Value) >= largeValue {
			m := n.index.Manifest(e.Key, e.Revision, e.Value)
			p.Value, p.Manifest = nil, &m
		}
		reply.Entries = append(reply.Entries, p)
		n.Metrics.Add("published_bytes_out", int64(len(p.Value)))
	}
	n.Metrics.Add("published_answers_out", 1)
}

// handOn answers a question for parts of large values.
func (n *Node) handOn(m *wire.Wanted) *wire.Parts {
	packed := n.index.Packed(m.Digests, answerBytes)
	for _, p := range packed {
		n.Metrics.Add("published_bytes_out", int64(len(p)))
	}
	return &wire.Parts{Packed: packed}
}

// takePublished takes the answer of an entry that was asked, and asks on for
// the parts of large values.
func (n *Node) takePublished(addr string, r *wire.Reply, c *wire.Conn) {
	if r.UpTo == 0 && !r.Corrects || r.Era < n.catalog.Revision().Era {
		return // what was known in an era that is over is no news
	}
	n.indexOwn(r.Entries)
	now := time.Now()
	n.finish(now, n.begin(now, addr, r, c))
}

// begin returns the fetch of an answer if it is complete at once, else nil.
func (n *Node) begin(now time.Time, addr string, r *wire.Reply, c *wire.Conn) *fetch {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fetch.alive(now) {
		return nil // an answer to an earlier question
	}
	given := n.fetch
	f, err := newFetch(now, addr, r, func(digest uint64) ([]byte, bool) {
		if part, ok := given.part(digest); ok {
			return part, true
		}
		return n.index.Part(digest)
	})
	if err != nil {
		n.log.Emit(event.FetchFailed, zap.String("peer", addr), event.Err(err))
		return nil
	}
	n.fetch = f
	return n.advance(c)
}

// indexOwn makes the parts of this entry's own large values known, which the
// newer ones are likely to share.
func (n *Node) indexOwn(entries []wire.Published) {
	for _, e := range entries {
		if e.Manifest == nil {
			continue
		}
		if own, ok := n.catalog.Get(e.Key); ok {
			n.index.Manifest(own.Key, own.Revision, own.Value)
		}
	}
}

// takeParts takes parts of large values.
func (n *Node) takeParts(addr string, m *wire.Parts, c *wire.Conn) {
	now := time.Now()
	n.finish(now, n.add(now, addr, m, c))
}

// add returns the fetch that parts complete, if any.
func (n *Node) add(now time.Time, addr string, m *wire.Parts, c *wire.Conn) *fetch {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fetch == nil || n.fetch.from != addr {
		return nil // given up meanwhile
	}
	if err := n.fetch.add(now, m.Packed); err != nil {
		n.log.Emit(event.FetchFailed, zap.String("peer", addr), event.Err(err))
		return nil
	}
	if n.fetch.ended {
		return nil
	}
	n.source.Progress(now, addr)
	return n.advance(c)
}

// advance asks for what the fetch still lacks, or returns it; n.mu is held.
func (n *Node) advance(c *wire.Conn) *fetch {
	f := n.fetch
	wanted := f.wanted()
	if len(wanted) == 0 {
		n.fetch = nil
		return f
	}
	// A connection that has ended is noticed by the want of progress.
	_ = c.Send(&wire.Wanted{Digests: wanted})
	return nil
}

// finish takes what a complete fetch brought; it may be nil.
func (n *Node) finish(now time.Time, f *fetch) {
	if f == nil {
		return
	}
	entries, err := f.entries()
	if err != nil {
		n.log.Emit(event.FetchFailed, zap.String("peer", f.from), event.Err(err))
		return
	}
	n.Metrics.Add("published_answers_in", 1)
	n.Metrics.Add("published_bytes_in", int64(f.bytes))
	took := now.Sub(f.began)
	news := n.take(now, took, f.reply, entries)
	if len(news) == 0 {
		return
	}
	n.progress(now, f.from)
	for _, e := range news {
		if len(e.Value) >= largeValue {
			n.index.Manifest(e.Key, e.Revision, e.Value)
		}
	}
	n.log.Emit(event.LearnedFromEntry, zap.String("peer", f.from), zap.Int("entries", len(news)), zap.Stringer("revision", f.reply.CompleteTo()),
		zap.Int("bytes", f.bytes), zap.Duration("took", took))
}

// take merges what an answer brought and returns what was news.
func (n *Node) take(now time.Time, took time.Duration, r *wire.Reply, entries []catalog.Entry) []catalog.Entry {
	if r.Corrects {
		return n.catalog.Merge(now, entries, revision.Revision{})
	}
	news := n.catalog.Merge(now, entries, r.CompleteTo())
	if r.Keys != nil {
		news = append(news, n.catalog.Keep(now, r.Keys, r.At())...)
	}
	n.Heard(r.Age + took)
	return news
}

// progress records that an entry brought something new.
func (n *Node) progress(now time.Time, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.source.Progress(now, addr)
}
