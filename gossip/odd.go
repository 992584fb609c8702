package gossip

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"ebonypulley/wire"
)

const (
	// maxRevision bounds the era and the count of a revision. A store that counts a million changes a
	// second reaches it after 285 years; a larger one would make all that it lists obsolete.
	maxRevision = 1 << 53
	// maxCopyAge bounds the age of a copy of the published entries.
	maxCopyAge = 365 * 24 * time.Hour
	// maxAddr is the size in bytes of the longest address of an entry, a host name and a port.
	maxAddr = 256 + len(":65535")
)

// isAddr reports whether an entry may listen at an address.
func isAddr(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" || len(addr) > maxAddr || strings.ContainsFunc(addr, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// isRevision reports whether a store may have an era and a count.
func isRevision(era, count uint64) bool { return era <= maxRevision && count <= maxRevision }

// hasSoundRevisions reports whether a store may have the revisions of a reply.
func hasSoundRevisions(r *wire.Reply) bool {
	return isRevision(r.Era, r.UpTo) && isRevision(0, r.Revision) &&
		!slices.ContainsFunc(r.Entries, func(e wire.PublishedEntry) bool { return !isRevision(0, e.Revision) })
}
