package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// newsTolerance is the difference of two paces, as a logarithm, that does not change where
	// work goes.
	newsTolerance = 0.2
	// newsTime is how long news is reported. Longer, it has faded when it arrives.
	newsTime = 150 * time.Millisecond
	// maxNews bounds the endpoints of one report.
	maxNews = 8
)

// told is the pace that other processes know of.
type told struct {
	pace float64
	at   time.Time
}

// isNews reports whether other processes should learn of a pace: it differs from what they
// know, or they have forgotten that the endpoint is not as usual.
func (e *endpoint) isNews(now time.Time, pace float64, lasts time.Duration) bool {
	known, usual := e.told.pace, e.usual
	if known == 0 || now.Sub(e.told.at) > lasts {
		known = usual
	}
	return math.Abs(math.Log(pace/known)) > newsTolerance
}

// Own returns what is to be reported to other processes: the own observations that are news to
// them, the newest first.
func (t *Tracker) Own(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.news) == 0 {
		return nil
	}
	list := make([]Report, 0, len(t.news))
	for id, since := range t.news {
		if now.Sub(since) > newsTime {
			delete(t.news, id)
			continue
		}
		e := t.endpoints[id]
		r := Report{Endpoint: id, Load: e.load, Age: now.Sub(e.series.at)}
		r.Slowdown = e.series.pace
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Endpoint, b.Endpoint)) })
	return list[:min(len(list), maxNews)]
}
