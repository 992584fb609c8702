package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minEndpointBurst is the minimum burst, in requests, of the limits that endpoints
	// advertise, which specify none.
	minEndpointBurst = 1
	// minEndpointRate is the rate, in requests a second, at which requests are sent to an
	// endpoint even if its limit is lower, because only an answer can show that the limit is
	// lifted. maxEndpointRate is the maximum rate that is enforced.
	minEndpointRate = 0.1
	maxEndpointRate = 1e6
	// maxEndpointLimits bounds the limits that are reported at a time; the newest come first.
	maxEndpointLimits = 64
	// endpointLimitReportTime is how long a limit is reported to others.
	endpointLimitReportTime = 3 * time.Second
	// endpointLimitRetention is how long a limit applies without further answers.
	endpointLimitRetention = 10 * time.Minute
	// limitChangeTime is how long after a change of a limit others need to learn of it soon.
	limitChangeTime = time.Second
)

// EndpointID returns the ID under which the requests to an endpoint are counted.
func EndpointID(endpoint string) ID { return ID(xxhash.Sum64String("endpoint\x00" + endpoint)) }

// EndpointLimit is the limit that an endpoint advertises in an answer, or that it advertises
// none.
type EndpointLimit struct {
	Endpoint ID
	// Advertised says that it advertises a limit, PerSecond the requests a second that it then
	// accepts.
	Advertised bool
	PerSecond  float64
	// Age is how long ago that was.
	Age time.Duration
}

// endpointLimitState is the latest state of an endpoint that advertises a limit or did so
// before.
type endpointLimitState struct {
	advertised bool
	limit      Limit
	// perSecond is the limit as advertised.
	perSecond float64
	// validAt is when the limit was advertised; without a limit, when the request was sent
	// whose answer had none.
	validAt time.Time
	// lastOwn is when an answer last came to this entry, changed when the limit last changed.
	lastOwn, changed time.Time
}

// SetEndpointLimit applies what an endpoint advertises in the answer to a request that was
// sent at asked. It reports whether that changes the endpoint's limit.
func (l *Ledger) SetEndpointLimit(now, asked time.Time, s EndpointLimit) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	valid := l.readAt(now)
	if !s.Advertised {
		valid = span{asked, asked}
	}
	if l.endpointLimits[s.Endpoint] == nil && !s.Advertised {
		return false // like most endpoints, it has no limit
	}
	changed = l.applyEndpointLimit(now, valid, s)
	l.endpointLimits[s.Endpoint].lastOwn = now
	return changed
}

// applyEndpointLimit applies a limit, or its absence, that was valid at a time, unless a
// newer one is known. The caller holds l.mu.
//
// An answer without a limit may already have been on its way when another one advertised the
// limit. Only an answer to a request sent after that shows that the limit is lifted. Of two
// limits the lower one applies while it is not known which is newer.
func (l *Ledger) applyEndpointLimit(now time.Time, valid span, s EndpointLimit) (changed bool) {
	known := l.endpointLimits[s.Endpoint]
	switch {
	case known == nil:
		known = new(endpointLimitState)
		l.endpointLimits[s.Endpoint] = known
	case valid.first.After(known.validAt):
	case valid.last.After(known.validAt) && s.Advertised && !(known.advertised && known.perSecond <= s.PerSecond):
		valid.first = known.validAt
	default:
		return false
	}
	changed = known.advertised != s.Advertised || known.perSecond != s.PerSecond
	known.advertised, known.perSecond, known.validAt = s.Advertised, s.PerSecond, valid.first
	if changed {
		known.limit = l.endpointLimit(s.PerSecond)
		known.changed = now
	}
	return changed
}

// endpointLimit returns the limit of an endpoint that advertises a number of requests a second.
// Its burst is part of what is tolerated, and grows with it: entries learn of each other's
// requests later, several at once, and a small bucket would be empty then.
func (l *Ledger) endpointLimit(perSecond float64) Limit {
	rate := min(max(perSecond, minEndpointRate), maxEndpointRate)
	tolerance := l.settings.EndpointTolerance.withDefaults()
	burst := max(toleranceDepthFraction*tolerance.excess(Limit{Rate: rate}), minEndpointBurst)
	return Limit{Rate: rate, Burst: burst, Tolerance: tolerance.withoutBurst(burst)}
}

// OwnEndpointLimits returns the limits advertised to this entry that are to be reported to
// others.
func (l *Ledger) OwnEndpointLimits(now time.Time) []EndpointLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []EndpointLimit
	for id, s := range l.endpointLimits {
		if now.Sub(s.lastOwn) <= endpointLimitReportTime {
			list = append(list, EndpointLimit{Endpoint: id, Advertised: s.advertised, PerSecond: s.perSecond, Age: now.Sub(s.validAt)})
		}
	}
	slices.SortFunc(list, func(a, b EndpointLimit) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list[:min(len(list), maxEndpointLimits)]
}

// valid reports whether the limit is a number that an endpoint can mean.
func (s EndpointLimit) valid() bool { return s.PerSecond >= 0 && s.PerSecond <= math.MaxFloat64 }

// MergeEndpointLimits merges the limits advertised to another entry.
func (l *Ledger) MergeEndpointLimits(now time.Time, list []EndpointLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := l.readAt(now)
	for _, s := range list {
		if !s.valid() {
			continue
		}
		l.applyEndpointLimit(now, sent.before(max(s.Age, 0)), s)
	}
}

// limitChanged reports whether an endpoint's limit has just changed. The caller holds l.mu.
func (l *Ledger) limitChanged(now time.Time) bool {
	for _, s := range l.endpointLimits {
		if now.Sub(s.changed) <= limitChangeTime {
			return true
		}
	}
	return false
}

// limitOf returns the limit under which an ID is counted. The caller holds l.mu.
func (l *Ledger) limitOf(id ID) (Limit, bool) {
	if s := l.endpointLimits[id]; s != nil {
		return s.limit, s.advertised
	}
	limit := l.limits[id]
	return limit, !limit.Unlimited()
}

// sweepEndpointLimits drops limits that have not been confirmed for long. The caller holds
// l.mu.
func (l *Ledger) sweepEndpointLimits(now time.Time) {
	for id, s := range l.endpointLimits {
		if now.Sub(s.validAt) > endpointLimitRetention {
			delete(l.endpointLimits, id)
		}
	}
}
