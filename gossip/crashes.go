package gossip

import (
	"time"

	"ebonypulley/poison"
	"ebonypulley/wire"
)

// crashUpdates holds the updates about crashes after a sequence number, and the number up to
// which they are complete.
type crashUpdates struct {
	list []wire.Crash
	// rates holds the crash rate that goes with each element of list.
	rates []float64
	upTo  uint64
}

// crashUpdates returns the crash updates for an entry that knows all up to a sequence number.
func (n *Node) crashUpdates(now time.Time, after uint64) crashUpdates {
	pending, upTo := n.Crashes.Updates(now, after)
	updates := crashUpdates{upTo: upTo}
	for _, w := range pending {
		updates.list = append(updates.list, wire.Crash{Content: w.Content, Endpoint: w.Endpoint, Age: w.Age, Lasted: w.Lasted, Ran: w.Ran})
		updates.rates = append(updates.rates, w.Rate)
	}
	return updates
}

// partUpdates holds the updates about parts after a sequence number, and the number up to which
// they are complete.
type partUpdates struct {
	crashes []wire.PartCrash
	begun   []wire.PartBegun
	// depths and survived hold the depth that goes with each element of crashes and begun.
	depths, survived []int
	upTo             uint64
}

// partUpdates returns the updates about parts for an entry that knows all up to a sequence
// number.
func (n *Node) partUpdates(now time.Time, after uint64) partUpdates {
	pending, upTo := n.CrashingParts.Updates(now, after)
	updates := partUpdates{upTo: upTo}
	for _, c := range pending.Crashes {
		updates.crashes = append(updates.crashes, wire.PartCrash{Endpoint: c.Endpoint, Content: c.Content, Parts: c.Parts, Age: c.Age})
		updates.depths = append(updates.depths, int(c.Depth))
	}
	for _, a := range pending.Answers {
		updates.begun = append(updates.begun, wire.PartBegun{Part: a.Part, Age: a.Age})
		updates.survived = append(updates.survived, int(a.Survived))
	}
	return updates
}

// recordUpdatesSent records the updates that were sent on the connection of a report.
func (n *Node) recordUpdatesSent(s dueReport, crashes, parts, streams uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[s.addr]; l != nil && l.conn == s.conn {
		l.crashSeq, l.partSeq, l.streamSeq = crashes, parts, streams
	}
}

// mergeCrashes merges the crash updates of another entry; rates may be shorter than list.
func (n *Node) mergeCrashes(now time.Time, list []wire.Crash, rates []float64) {
	updates := make([]poison.Update, 0, len(list))
	for i, c := range list {
		w := poison.Update{Content: c.Content, Age: c.Age, Attempt: poison.Attempt{Endpoint: c.Endpoint, Lasted: c.Lasted, Ran: c.Ran}}
		if i < len(rates) {
			w.Rate = rates[i]
		}
		updates = append(updates, w)
	}
	n.Crashes.Merge(now, updates)
}

// mergePartUpdates merges the updates about parts of another entry. One of an earlier release tells
// no depths: what it knows are crashes before the third event, and answers beyond it.
func (n *Node) mergePartUpdates(now time.Time, r *wire.Report) {
	n.CrashingParts.LearnKnown(now, r.PartsKnown)
	if len(r.PartCrashes)+len(r.PartsBegun) == 0 {
		return
	}
	var updates poison.PartUpdates
	for i, c := range r.PartCrashes {
		updates.Crashes = append(updates.Crashes, poison.PartCrash{Endpoint: c.Endpoint, Content: c.Content, Parts: c.Parts, Age: c.Age, Depth: depthAt(r.PartCrashDepths, i)})
	}
	for i, b := range r.PartsBegun {
		updates.Answers = append(updates.Answers, poison.PartAnswer{Part: b.Part, Age: b.Age, Survived: depthAt(r.PartAnswersSurvived, i)})
	}
	n.CrashingParts.Merge(now, updates)
}

// depthAt returns the depth at an index of a list, which may be shorter.
func depthAt(list []int, i int) poison.Depth {
	if i < len(list) {
		return poison.Depth(list[i])
	}
	return poison.Beginning
}
