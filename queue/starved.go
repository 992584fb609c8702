package queue

const (
	// starvedFraction is the part of the mean fraction served below which a rank is starved.
	// No rank may fall below a quarter of the mean.
	starvedFraction = 1.0 / 3
	// outcomeWindow is the number of requests over which outcomes are counted.
	outcomeWindow = 64
	// minOutcomes is the number of a rank's requests from which on it can be starved.
	minOutcomes = 4
)

// outcomes counts requests, the earlier ones with less weight.
type outcomes struct {
	served, lost float64
}

func (o outcomes) add(other outcomes) outcomes {
	return outcomes{served: o.served + other.served, lost: o.lost + other.lost}
}

func (o outcomes) total() float64 { return o.served + o.lost }

// outcomesByRank tells which ranks are starved.
type outcomesByRank struct {
	byRank  map[int]outcomes
	starved map[int]bool
}

func newOutcomesByRank() outcomesByRank {
	return outcomesByRank{byRank: make(map[int]outcomes), starved: make(map[int]bool)}
}

// record counts the outcome of a request.
func (b *outcomesByRank) record(rank int, one outcomes) {
	const keep = 1 - 1.0/outcomeWindow
	for r, o := range b.byRank {
		b.byRank[r] = outcomes{served: o.served * keep, lost: o.lost * keep}
	}
	b.byRank[rank] = b.byRank[rank].add(one)
	b.update()
}

// undoServed takes back the outcome of a request whose start failed.
func (b *outcomesByRank) undoServed(rank int) {
	o := b.byRank[rank]
	b.byRank[rank] = outcomes{served: max(o.served-1, 0), lost: o.lost}
	b.update()
}

// update determines anew which ranks are starved.
func (b *outcomesByRank) update() {
	var all outcomes
	for _, o := range b.byRank {
		all = all.add(o)
	}
	for r, o := range b.byRank {
		b.starved[r] = o.total() >= minOutcomes && o.served*all.total() < starvedFraction*all.served*o.total()
	}
}
