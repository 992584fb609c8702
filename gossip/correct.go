package gossip

import (
	"time"

	"ebonypulley/revision"
	"ebonypulley/wire"
)

const (
	// doubtsMost is how many reports of a process that started ask for corrections, and
	// doubtPause the pause between two of them.
	doubtsMost = 16
	doubtPause = 300 * time.Millisecond
)

// doubt is that of a process which began with what the store had of a copy.
//
// A process starts between the store's return and the operator's next write, and reads the older
// configuration of the copy. It shows as a configuration that reverts. The guard holds because
// such a process asks others, one after another, for what they kept.
type doubt struct {
	begun bool
	// left is how many reports are still to ask, asked when the last one did.
	left  int
	asked time.Time
}

// due reports whether the next report asks, of a process whose catalog is at a revision.
func (d *doubt) due(now time.Time, own revision.Revision) bool {
	if own.IsZero() {
		return false
	}
	if !d.begun {
		d.begun = true
		if own.Era > 0 {
			d.left = doubtsMost
		}
	}
	if d.left == 0 || now.Sub(d.asked) < doubtPause {
		return false
	}
	d.left--
	d.asked = now
	return true
}

// correct adds to a reply what was kept here when the store came back from a copy.
func (n *Node) correct(reply *wire.Reply) {
	kept := n.catalog.Kept()
	if len(kept) == 0 {
		return
	}
	reply.Corrects = true
	n.addPublished(reply, kept)
}
