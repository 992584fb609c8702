package config

import (
	"sync"
	"time"
)

// fetchTimeout is how long a peer has to send its document before another peer
// is asked: 1.5 times what 1 MB takes on a link of 10 Mbit/s that also carries
// requests, and short enough for a second attempt within the 5 s in which a
// published document must be applied.
const fetchTimeout = 1500 * time.Millisecond

// FetchTracker decides which peer to ask for a newer document that it advertises. It is
// safe for concurrent use; the zero value is ready.
//
// One peer is asked at a time. Otherwise a process with an old document would
// receive the same large one from each of its peers at once, the transfers would
// share its link, and VMs with narrow links would apply the document late.
type FetchTracker struct {
	mu sync.Mutex
	// peer is the peer that was asked, nil for none, startedAt when it was asked
	// and requested the version that it advertised.
	peer      any
	startedAt time.Time
	requested Version
	// rejected is a version that was received and found invalid.
	rejected Version
}

// TryStart reports whether to ask a peer, identified by any comparable value, for
// the version that it advertises.
func (a *FetchTracker) TryStart(now time.Time, peer any, advertised Version) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if advertised == a.rejected || a.peer != nil && now.Sub(a.startedAt) < fetchTimeout {
		return false
	}
	a.peer, a.startedAt, a.requested = peer, now, advertised
	return true
}

// Received records the result of offering the document that a peer sent.
func (a *FetchTracker) Received(peer any, result OfferResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peer != peer {
		return
	}
	a.peer = nil
	if result == Invalid {
		a.rejected = a.requested
	}
}

// PeerLost records that the connection to a peer was closed.
func (a *FetchTracker) PeerLost(peer any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peer == peer {
		a.peer = nil
	}
}
