package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// newsMost bounds what is told at a time: some 10 kB.
	newsMost = 256
	// freshFor is how long a single crash is told to entries that are new: it concerns a
	// request that is still tried.
	freshFor = time.Minute
	// corroborated is the number of crashes from which on what others say is handed on,
	// so that all hear of what crashes endpoints again, and entries that start learn it
	// from any other.
	corroborated = 2
)

// Word is what one entry tells others of a content: a crash under it, or that it was
// answered whole.
type Word struct {
	Content uint64
	// Attempt names no endpoint for a whole answer.
	Attempt
	// Age is how long ago that was.
	Age time.Duration
}

// Seq is the number of the newest news.
func (l *Ledger) Seq() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seq
}

// News returns what is to be told to one who knows all up to a number, and the number
// up to which it then knows all.
func (l *Ledger) News(now time.Time, after uint64) ([]Word, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	type numbered struct {
		Word
		seq uint64
	}
	var list []numbered
	for content, r := range l.contents {
		fresh := len(r.crashes) >= corroborated || now.Sub(r.at) <= freshFor
		if !fresh {
			continue
		}
		for _, c := range r.crashes {
			if c.seq > after {
				list = append(list, numbered{Word{content, c.Attempt, now.Sub(c.at)}, c.seq})
			}
		}
		if r.seq > after {
			list = append(list, numbered{Word{Content: content, Age: now.Sub(r.served)}, r.seq})
		}
	}
	slices.SortFunc(list, func(a, b numbered) int { return cmp.Compare(a.seq, b.seq) })
	upTo := l.seq
	if len(list) > newsMost {
		list = list[:newsMost]
		upTo = list[newsMost-1].seq
	}
	words := make([]Word, 0, len(list))
	for _, n := range list {
		words = append(words, n.Word)
	}
	return words, upTo
}

// Hear takes what another entry tells.
func (l *Ledger) Hear(now time.Time, words []Word) {
	for _, w := range words {
		if w.Age < 0 || w.Age > memory {
			continue
		}
		if w.Endpoint == "" {
			l.hearServed(now.Add(-w.Age), w.Content)
			continue
		}
		l.hearCrash(now, w)
	}
}

func (l *Ledger) hearCrash(now time.Time, w Word) {
	l.mu.Lock()
	found := 0
	r := l.add(now, w.Content, crash{Attempt: w.Attempt, at: now.Add(-w.Age)})
	if r != nil {
		l.number(r, corroborated)
		found = l.judge(r)
	}
	l.mu.Unlock()
	l.tell(w.Content, found)
}

func (l *Ledger) hearServed(at time.Time, content uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.contents[content]
	if r == nil || !at.After(r.served) {
		return
	}
	handOn := len(r.crashes) >= corroborated
	if l.clear(r, at) && handOn {
		l.numberServed(r)
	}
}

// number numbers the crashes of a record to be told, if there are enough of them; l.mu
// is held.
func (l *Ledger) number(r *record, least int) {
	if len(r.crashes) < least {
		return
	}
	for i := range r.crashes {
		if r.crashes[i].seq == 0 {
			l.seq++
			r.crashes[i].seq = l.seq
		}
	}
}

// numberServed numbers the whole answer of a record to be told, once; l.mu is held.
func (l *Ledger) numberServed(r *record) {
	if r.told.Equal(r.served) {
		return
	}
	l.seq++
	r.seq, r.told = l.seq, r.served
}
