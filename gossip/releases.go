package gossip

import (
	"time"

	"ebonypulley/release"
	"ebonypulley/wire"
)

// streamUpdates holds the software versions of streams after a sequence number, and the number
// up to which they are complete.
type streamUpdates struct {
	list []wire.StreamVersion
	upTo uint64
}

// streamUpdates returns the streams for an entry that knows all up to a sequence number.
func (n *Node) streamUpdates(now time.Time, after uint64) streamUpdates {
	pending, upTo := n.Releases.Updates(now, after)
	return streamUpdates{list: streamVersions(pending), upTo: upTo}
}

func streamVersions(updates []release.Update) []wire.StreamVersion {
	var list []wire.StreamVersion
	for _, u := range updates {
		list = append(list, wire.StreamVersion(u))
	}
	return list
}

// reachesAll reports whether all entries that are alive get this one's reports. The caller holds
// n.mu.
func (n *Node) reachesAll(now time.Time) bool {
	if !n.members.TargetsAll(now) {
		return false
	}
	for _, addr := range n.members.Alive(now) {
		if l := n.links[addr]; l == nil || l.conn == nil {
			return false
		}
	}
	return true
}

// mergeStreams merges the software versions of streams of another entry.
func (n *Node) mergeStreams(now time.Time, list []wire.StreamVersion) {
	updates := make([]release.Update, 0, len(list))
	for _, s := range list {
		updates = append(updates, release.Update(s))
	}
	n.Releases.Merge(now, updates)
}

// versionHistory returns the recent changes of endpoints, for an entry that may have started.
func (n *Node) versionHistory(now time.Time) []wire.ServiceVersions {
	var list []wire.ServiceVersions
	for _, h := range n.Releases.History(now) {
		s := wire.ServiceVersions{Service: h.Service, Age: h.Age}
		for _, c := range h.Changes {
			s.Changes = append(s.Changes, wire.EndpointVersion(c))
		}
		list = append(list, s)
	}
	return list
}

// mergeVersionHistory merges the recent changes of endpoints that another entry knows.
func (n *Node) mergeVersionHistory(now time.Time, list []wire.ServiceVersions) {
	histories := make([]release.History, 0, len(list))
	for _, s := range list {
		h := release.History{Service: s.Service, Age: s.Age}
		for _, c := range s.Changes {
			h.Changes = append(h.Changes, release.Change(c))
		}
		histories = append(histories, h)
	}
	n.Releases.MergeHistory(now, histories)
}
