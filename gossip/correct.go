package gossip

import (
	"time"

	"ebonypulley/revision"
	"ebonypulley/wire"
)

const (
	// maxCorrectionRequests bounds the reports with which a process that has just started
	// asks for corrections, and correctionInterval is the pause between two of them.
	maxCorrectionRequests = 16
	correctionInterval    = 300 * time.Millisecond
)

// correctionRequests decides which reports ask for corrections of the published entries.
//
// A process that starts after the store was restored from a backup, and before the operator's
// next write, reads the older configuration of the backup and would revert to it. It
// therefore asks other entries, one after another, for what they kept from before the
// restore.
type correctionRequests struct {
	started bool
	// remaining is the number of reports that are still to ask, lastAsked when the last one
	// did.
	remaining int
	lastAsked time.Time
}

// due reports whether the next report asks; own is the revision of this process's catalog.
func (c *correctionRequests) due(now time.Time, own revision.Revision) bool {
	if own.IsZero() {
		return false
	}
	if !c.started {
		c.started = true
		if own.Era > 0 {
			c.remaining = maxCorrectionRequests
		}
	}
	if c.remaining == 0 || now.Sub(c.lastAsked) < correctionInterval {
		return false
	}
	c.remaining--
	c.lastAsked = now
	return true
}

// addCorrections adds to a reply what this process kept when the store was restored from a
// backup.
func (n *Node) addCorrections(reply *wire.Reply) {
	kept := n.catalog.SupersedingEntries()
	if len(kept) == 0 {
		return
	}
	reply.Corrects = true
	n.addPublished(reply, kept)
}
