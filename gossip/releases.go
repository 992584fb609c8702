package gossip

import (
	"time"

	"ebonypulley/release"
	"ebonypulley/wire"
)

// aloneTimeout is how long after the last word of any entry others still wait for the answer of this
// one: they remember it for forgetTimeout, perhaps since an earlier moment.
const aloneTimeout = 20 * time.Second

// streamUpdates holds the software versions of streams and of cached prompts after a sequence
// number, and the number up to which they are complete.
type streamUpdates struct {
	streams, prompts []wire.StreamVersion
	upTo             uint64
}

// streamUpdates returns the updates for an entry that knows all up to a sequence number.
func (n *Node) streamUpdates(now time.Time, after uint64) streamUpdates {
	pending, upTo := n.Releases.Updates(now, after)
	streams, prompts := streamVersions(pending)
	return streamUpdates{streams: streams, prompts: prompts, upTo: upTo}
}

// streamVersions encodes updates, those about streams and those about prompts.
func streamVersions(updates []release.Update) (streams, prompts []wire.StreamVersion) {
	for _, u := range updates {
		v := wire.StreamVersion{Request: u.Request, Version: u.Version}
		if u.Prompt {
			prompts = append(prompts, v)
		} else {
			streams = append(streams, v)
		}
	}
	return streams, prompts
}

// reachesAll reports whether all entries that are there get this one's reports. One that was heard
// within forgetTimeout and is no longer may be cut off, and callers may resume streams there; if most
// are not heard, this one may be. The caller holds n.mu.
func (n *Node) reachesAll(now time.Time) bool {
	return n.members.TargetsAll(now) && !n.members.MayBeCutOff(now) && n.linkedToAll(now)
}

// mergeStreams merges the software versions of streams and of cached prompts that another entry
// told of its own.
func (n *Node) mergeStreams(now time.Time, streams, prompts []wire.StreamVersion) {
	n.Releases.Merge(now, updatesOf(streams, prompts))
}

// mergeRelayed merges those that another entry has heard.
func (n *Node) mergeRelayed(now time.Time, streams, prompts []wire.StreamVersion) {
	n.Releases.MergeRelayed(now, updatesOf(streams, prompts))
}

// updatesOf decodes the versions of streams and of cached prompts.
func updatesOf(streams, prompts []wire.StreamVersion) []release.Update {
	updates := make([]release.Update, 0, len(streams)+len(prompts))
	for _, s := range streams {
		updates = append(updates, release.Update{Request: s.Request, Version: s.Version})
	}
	for _, p := range prompts {
		updates = append(updates, release.Update{Request: p.Request, Version: p.Version, Prompt: true})
	}
	return updates
}

// ToAsk reports whether this entry is the one of all that are alive to ask an endpoint of a data
// centre: each endpoint is asked by one entry, if possible of its own data centre.
func (n *Node) ToAsk(dataCentre, endpoint string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.FirstFor(time.Now(), dataCentre, endpoint) == n.self.Addr
}

// versionHistory returns the recent changes of endpoints, for an entry that may have started, and
// the digests of those that are published.
func (n *Node) versionHistory(now time.Time) (list []wire.ServiceVersions, published []uint64) {
	for _, h := range n.Releases.History(now) {
		s := wire.ServiceVersions{Service: h.Service, Age: h.Age}
		for _, c := range h.Changes {
			s.Changes = append(s.Changes, wire.EndpointVersion(c))
		}
		list, published = append(list, s), append(published, h.Published)
	}
	return list, published
}

// mergeVersionHistory merges the recent changes of endpoints that another entry knows. One that
// sends no digests is of a release without them.
func (n *Node) mergeVersionHistory(now time.Time, list []wire.ServiceVersions, published []uint64) {
	if len(published) != len(list) {
		return
	}
	histories := make([]release.History, 0, len(list))
	for i, s := range list {
		if s.Age < 0 {
			continue
		}
		h := release.History{Service: s.Service, Age: s.Age, Published: published[i]}
		for _, c := range s.Changes {
			h.Changes = append(h.Changes, release.Change(c))
		}
		histories = append(histories, h)
	}
	n.Releases.MergeHistory(now, histories)
}
