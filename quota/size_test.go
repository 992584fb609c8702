package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"ebonypulley/quota"
)

// Sizes of messages in bytes: the frame, the use of one ID in it, and a request with its
// response.
const (
	frameBytes     = 60
	useBytes       = 16
	roundTripBytes = 120
)

// The load of a large fleet: workspaces near their limits, some of them far above.
const (
	hotWorkspaces        = 30
	overloadedWorkspaces = 3
	overloadFactor       = 6
	requestTokens        = 1000
	maxPeers             = 96
	dataCentres          = 10
)

// fleetLimiter is an algorithm that enforces limits over a large fleet.
type fleetLimiter interface {
	take(now time.Time, entry, workspace int) bool
	exchange(now time.Time)
	// partition splits the entries into two halves from now on; restart replaces all
	// processes.
	partition()
	restart(now time.Time)
	// bytesSent returns what one entry sends, on average and at most.
	bytesSent() (mean, most float64)
}

// meter holds the bytes that each entry has sent.
type meter []float64

func (m meter) bytesSent() (mean, most float64) {
	for _, b := range m {
		mean += b / float64(len(m))
		most = max(most, b)
	}
	return mean, most
}

func hotLimits() map[quota.ID]quota.Limit {
	limits := make(map[quota.ID]quota.Limit)
	for w := range hotWorkspaces {
		limits[hotID(w)] = limit
	}
	return limits
}

func hotID(w int) quota.ID { return quota.NewID(fmt.Sprint(w)) }

// ledgers holds the replicas of the entries.
type ledgers struct {
	meter
	all         []*quota.Ledger
	incarnation byte
	partitions  int
}

func newLedgers(n int) *ledgers {
	l := &ledgers{meter: make(meter, n), all: make([]*quota.Ledger, n), partitions: 1}
	l.start(n, false)
	return l
}

func (l *ledgers) start(entries int, restarted bool) {
	l.incarnation++
	for i := range l.all {
		l.all[i] = quota.NewLedger(quota.Settings{Tolerance: tolerance, Restarted: restarted, Seed: uint64(i)})
		l.all[i].SetLimits(hotLimits())
		l.all[i].SetFleetSize(entries)
	}
}

func (l *ledgers) take(now time.Time, entry, w int) bool {
	return l.all[entry].Take(now, hotID(w), requestTokens).OK
}

func (l *ledgers) partition() { l.partitions = 2 }

// randomPeers reports all use to a random selection of the other entries.
type randomPeers struct {
	*ledgers
	peers [][]int
	next  time.Time
}

func newRandomPeers(n int) fleetLimiter {
	d := &randomPeers{ledgers: newLedgers(n), peers: make([][]int, n)}
	rnd := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		for _, j := range rnd.Perm(n) {
			if j != i && len(d.peers[i]) < maxPeers {
				d.peers[i] = append(d.peers[i], j)
			}
		}
	}
	return d
}

func (d *randomPeers) restart(time.Time) { d.start(len(d.all), true) }

func (d *randomPeers) exchange(now time.Time) {
	if now.Before(d.next) {
		return
	}
	d.next = now.Add(max(150*time.Millisecond, time.Duration(len(d.peers[0]))*time.Second/300))
	for i, from := range d.all {
		uses := from.OwnUse(now)
		for _, j := range d.peers[i] {
			if i%d.partitions != j%d.partitions {
				continue
			}
			d.meter[i] += float64(frameBytes + useBytes*len(uses))
			d.all[j].MergeUse(now, fmt.Sprint(i), quota.Incarnation{d.incarnation}, uses)
		}
	}
}

// dataCentreSums aggregates by data centre: one entry of each collects the use of an ID,
// exchanges it with those of the other data centres and distributes the total.
type dataCentreSums struct {
	*ledgers
	next time.Time
	// taken is what each entry used of each workspace since its start.
	taken [][hotWorkspaces]uint64
}

func newDataCentreSums(n int) fleetLimiter {
	s := &dataCentreSums{ledgers: newLedgers(n), taken: make([][hotWorkspaces]uint64, n)}
	s.start(2, false) // the entry itself and the sum of all others
	return s
}

func (s *dataCentreSums) restart(time.Time) {
	s.start(2, true)
	s.taken = make([][hotWorkspaces]uint64, len(s.all))
}

func (s *dataCentreSums) take(now time.Time, entry, w int) bool {
	ok := s.ledgers.take(now, entry, w)
	if ok {
		s.taken[entry][w] += requestTokens
	}
	return ok
}

const sumInterval = 300 * time.Millisecond

func (s *dataCentreSums) exchange(now time.Time) {
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(sumInterval)
	total := make([][hotWorkspaces]uint64, s.partitions)
	centre := (len(s.all) + dataCentres - 1) / dataCentres
	for i := range s.all {
		for w, taken := range s.taken[i] {
			total[i%s.partitions][w] += taken
			if taken > 0 {
				s.meter[i] += frameBytes + useBytes
			}
		}
	}
	for w := range hotWorkspaces {
		for c := range dataCentres {
			relay := (w*31 + c*centre) % len(s.all)
			s.meter[relay] += float64((centre + dataCentres - 1) * (frameBytes + useBytes))
		}
	}
	for i, to := range s.all {
		var uses []quota.Use
		for w, sum := range total[i%s.partitions] {
			uses = append(uses, quota.Use{Workspace: hotID(w), Epoch: 1, Taken: sum - s.taken[i][w]})
		}
		to.MergeUse(now, "relay", quota.Incarnation{s.incarnation}, uses)
	}
}

// bucketOwners has one owner of each workspace decide on every request; an entry that does
// not reach the owner uses an equal share.
type bucketOwners struct {
	meter
	n          int
	buckets    map[[2]int]*rate.Limiter
	partitions int
}

func newBucketOwners(n int) fleetLimiter {
	return &bucketOwners{meter: make(meter, n), n: n, buckets: make(map[[2]int]*rate.Limiter), partitions: 1}
}

func (o *bucketOwners) partition()          { o.partitions = 2 }
func (o *bucketOwners) exchange(time.Time)  {}
func (o *bucketOwners) restart(_ time.Time) { clear(o.buckets) }

func (o *bucketOwners) take(now time.Time, entry, w int) bool {
	owner := w * 29 % o.n
	key, share := [2]int{w, -1}, 1.0
	if entry%o.partitions != owner%o.partitions {
		key, share = [2]int{w, entry}, 1/float64(o.n)
	}
	o.meter[entry] += roundTripBytes / 2
	o.meter[owner] += roundTripBytes / 2
	b := o.buckets[key]
	if b == nil {
		b = rate.NewLimiter(rate.Limit(limit.Rate*share), max(int(limit.Burst*share), 1))
		o.buckets[key] = b
	}
	return spend(b, now, requestTokens)
}

// scaleResult is the result for the worst workspace.
type scaleResult struct {
	overrun, served float64
	mean, most      float64
}

// runAtScale applies the load; middle is what happens halfway: "steady", "partition" or
// "restart".
func runAtScale(w fleetLimiter, entries int, middle string) scaleResult {
	const step, lasting = 10 * time.Millisecond, 16 * time.Second
	rnd := rand.New(rand.NewPCG(3, 3))
	fleets := make([]fleet, hotWorkspaces)
	for d := time.Duration(0); d < lasting; d += step {
		now := at(d)
		w.exchange(now)
		if d == lasting/2 && middle == "partition" {
			w.partition()
		}
		if d == lasting/2 && middle == "restart" {
			w.restart(now)
		}
		for id := range hotWorkspaces {
			factor := 1.0
			if id < overloadedWorkspaces {
				factor = overloadFactor
			}
			mean := limit.Rate * factor * step.Seconds() / requestTokens
			for n := poisson(rnd, mean); n > 0; n-- {
				if w.take(now, rnd.IntN(entries), id) {
					fleets[id].admitted = append(fleets[id].admitted, admission{now, requestTokens})
				}
			}
		}
	}
	r := scaleResult{served: math.Inf(1)}
	for id := range fleets {
		r.overrun = max(r.overrun, float64(fleets[id].maxAdmitted(tolerance.Window))/tolerated(limit))
		r.served = min(r.served, float64(fleets[id].total(start))/(limit.Rate*lasting.Seconds()))
	}
	r.mean, r.most = w.bytesSent()
	r.mean, r.most = r.mean/lasting.Seconds(), r.most/lasting.Seconds()
	return r
}

func poisson(rnd *rand.Rand, mean float64) (n int) {
	for p := rnd.Float64(); p > math.Exp(-mean); n++ {
		p *= rnd.Float64()
	}
	return n
}

// BenchmarkLimiterAlgorithms compares ways to enforce limits over 27 to 920 entries: the
// highest use in a window relative to what is tolerated, the lowest share of a limit served,
// and the bytes per second and entry.
func BenchmarkLimiterAlgorithms(b *testing.B) {
	limiters := []struct {
		name string
		make func(int) fleetLimiter
	}{{"random peers", newRandomPeers}, {"sums by data centre", newDataCentreSums}, {"bucket owners", newBucketOwners}}
	for _, entries := range []int{27, 68, 300, 920} {
		for _, middle := range []string{"steady", "partition", "restart"} {
			for _, w := range limiters {
				b.Run(fmt.Sprintf("%d entries/%s/%s", entries, middle, w.name), func(b *testing.B) {
					for b.Loop() {
						r := runAtScale(w.make(entries), entries, middle)
						b.ReportMetric(r.overrun, "overrun")
						b.ReportMetric(r.served, "served")
						b.ReportMetric(r.mean, "B/s-mean")
						b.ReportMetric(r.most, "B/s-most")
					}
				})
			}
		}
	}
}
