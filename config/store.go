package config

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"ebonypulley/invariant"
	"ebonypulley/jsonc"
)

// OfferResult is the result of offering a document to a Store.
type OfferResult int

// Results of Store.Offer.
const (
	// Accepted: the document is now the current one.
	Accepted OfferResult = iota
	// Unchanged: the document is already the current one.
	Unchanged
	// Stale: the current document has a higher generation.
	Stale
	// Conflict: the current document had the same generation and other content.
	// The one with the greater digest is current now.
	Conflict
	// Invalid: the document has Error findings; nothing changed.
	Invalid
)

// String returns the name of the result.
func (r OfferResult) String() string {
	return [...]string{"accepted", "known", "stale", "conflict", "invalid"}[r]
}

// Snapshot is a document that was applied, with the text that it was read from. It is
// immutable.
type Snapshot struct {
	Document *Document
	// Text is the published text, which is sent to peers unchanged.
	Text []byte
	// Digest is the xxhash of Text.
	Digest uint64
	index  lookupIndex
}

type lookupIndex struct {
	workspaces map[KeyHash]*Workspace
}

// WorkspaceOfKey returns the workspace of a key, or nil.
func (s *Snapshot) WorkspaceOfKey(key string) *Workspace {
	return s.index.workspaces[HashKey(key)]
}

// Store keeps the current document and replaces it only by a newer version.
//
// The generation never decreases, whatever the source. Otherwise a stale configuration
// service, a stale peer or a delayed message could bring back an older document, and
// removed endpoints would receive requests again.
//
// Of two documents with the same generation the one with the greater digest wins, so
// that all processes end with the same one, whichever they read first. Two operators
// who publish from the same base get a defined outcome and see the result Conflict.
type Store struct {
	mu             sync.RWMutex
	current        *Snapshot
	rejectedDigest uint64 // digest of the last text with Error findings
	watchers       []chan struct{}
}

// Current returns the current document, or nil before the first.
func (s *Store) Current() *Snapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}

// Generation returns the current generation, 0 before the first document.
func (s *Store) Generation() uint64 {
	if cur := s.Current(); cur != nil {
		return cur.Document.Generation
	}
	return 0
}

// Version identifies the text of a document. Texts of the same generation are ordered
// by their digests.
type Version struct {
	Generation uint64
	Digest     uint64
}

// Newer reports whether v replaces other.
func (v Version) Newer(other Version) bool {
	if v.Generation != other.Generation {
		return v.Generation > other.Generation
	}
	return v.Digest > other.Digest
}

// Version returns the current version, zero before the first document.
func (s *Store) Version() Version {
	if cur := s.Current(); cur != nil {
		return cur.version()
	}
	return Version{}
}

func (s *Snapshot) version() Version {
	return Version{Generation: s.Document.Generation, Digest: s.Digest}
}

// Offer validates a complete document and applies it if it is newer than the current
// one. Source names its origin in the findings, which say why an Invalid document was
// refused. The findings are nil if the text is the one that was refused last.
func (s *Store) Offer(source string, text []byte) (OfferResult, jsonc.Findings) {
	digest := xxhash.Sum64(text)
	if s.alreadyRejected(digest) {
		return Invalid, nil
	}
	if cur := s.Current(); cur != nil && cur.Digest == digest {
		return Unchanged, nil
	}
	doc, findings := Parse(source, text)
	if findings.Errors() > 0 {
		s.mu.Lock()
		s.rejectedDigest = digest
		s.mu.Unlock()
		return Invalid, findings
	}
	next := &Snapshot{Document: doc, Text: text, Digest: digest, index: buildIndex(doc)}
	return s.install(next), findings
}

func (s *Store) alreadyRejected(digest uint64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.rejectedDigest == digest && digest != 0
}

func (s *Store) install(next *Snapshot) OfferResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := Accepted
	if s.current != nil {
		cur, offered := s.current.version(), next.version()
		if offered == cur {
			return Unchanged
		}
		if offered.Generation == cur.Generation {
			result = Conflict
		}
		if !offered.Newer(cur) {
			if result == Conflict {
				return Conflict
			}
			return Stale
		}
		invariant.Check(offered.Generation >= cur.Generation, invariant.MonotoneGeneration,
			"generation %d after %d", offered.Generation, cur.Generation)
	}
	s.current = next
	for _, w := range s.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
	return result
}

// Watch returns a channel that receives a signal after a change, and at once if there is
// a document already. Signals that were not received yet are merged.
func (s *Store) Watch() <-chan struct{} {
	w := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, w)
	if s.current != nil {
		w <- struct{}{}
	}
	return w
}

func buildIndex(doc *Document) lookupIndex {
	idx := lookupIndex{workspaces: make(map[KeyHash]*Workspace, len(doc.Workspaces))}
	for i := range doc.Workspaces {
		w := &doc.Workspaces[i]
		for _, text := range w.KeySHA256 {
			if h, err := ParseKeyHash(text); err == nil {
				idx.workspaces[h] = w
			}
		}
	}
	return idx
}
