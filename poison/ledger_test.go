package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/poison"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

const (
	bad       = 0xbad
	endpoints = 9
	// soon is how long an attempt lasts if the request crashes its endpoint at once.
	soon = 80 * time.Millisecond
)

func newDetector() *poison.Detector {
	l := poison.NewDetector()
	ids := make([]string, 0, endpoints)
	for i := range endpoints {
		ids = append(ids, fmt.Sprint("published-", i))
	}
	l.SetEndpoints(ids)
	return l
}

func name(i int) string { return fmt.Sprint("endpoint-", i) }

// A request that crashes each endpoint soon after its start there is blocked after the
// third crash, not after the second.
func TestThreeCrashesBlock(t *testing.T) {
	l := newDetector()
	found := 0
	l.OnBlocked = func(content uint64, crashes int) {
		assert.Equal(t, uint64(bad), content)
		found = crashes
	}
	for i := range 3 {
		assert.False(t, l.Blocked(at(0), bad))
		l.RecordCrash(at(time.Duration(i)*time.Second), bad, poison.Attempt{Endpoint: name(i), Lasted: soon})
		l.RecordCrash(at(time.Duration(i)*time.Second), bad, poison.Attempt{Endpoint: name(i), Lasted: soon}) // two attempts at one endpoint
	}
	assert.True(t, l.Blocked(at(3*time.Second), bad))
	assert.Equal(t, 3, found)
	assert.False(t, l.Blocked(at(3*time.Second), bad+1))
	assert.False(t, l.Blocked(at(2*time.Hour), bad), "the service may have been fixed by then")
}

// Endpoints crash one after the other for other reasons, and callers repeat the same
// request after each crash. If it had run for a while each time, the few crashes that its
// callers' attempts can meet must not block it. After eight crashes it is blocked whatever
// else crashes.
func TestInnocentRequestIsNotBlocked(t *testing.T) {
	l := newDetector()
	const innocent = 1
	for i := range 12 {
		l.RecordCrash(at(time.Duration(i)*700*time.Millisecond), uint64(100+i), poison.Attempt{Endpoint: name(i), Lasted: time.Second})
	}
	now := at(9 * time.Second)
	for i := range 8 {
		assert.False(t, l.Blocked(now, innocent) && i <= 5)
		l.RecordCrash(now, innocent, poison.Attempt{Endpoint: name(i), Lasted: time.Second, Ran: true})
	}
	assert.True(t, l.Blocked(now, innocent))
}

// The engines are busy, so a poison request waits there for a second before it starts,
// which looks as if it had run. It must be blocked after five crashes, although engines
// crash during other requests too.
func TestQueuedPoisonIsBlocked(t *testing.T) {
	l := newDetector()
	for i := range 5 {
		now := at(time.Duration(i) * time.Second)
		assert.False(t, l.Blocked(now, bad))
		l.RecordCrash(now, uint64(100+i), poison.Attempt{Endpoint: fmt.Sprint("another-", i), Lasted: time.Second})
		l.RecordCrash(now, bad, poison.Attempt{Endpoint: name(i), Lasted: 1200 * time.Millisecond})
	}
	assert.True(t, l.Blocked(at(5*time.Second), bad))
}

// Many callers send the same request while endpoints crash for other reasons, so it runs
// at each crashed endpoint. As it is answered completely in between, at this or another
// entry, no entry may block it.
func TestCompleteAnswerClearsCrashes(t *testing.T) {
	here, there := newDetector(), newDetector()
	for i := range 10 {
		now := at(time.Duration(i) * time.Second)
		here.RecordCrash(now, bad, poison.Attempt{Endpoint: name(i), Lasted: soon})
		there.RecordSuccess(now.Add(100*time.Millisecond), bad)
		exchange(now.Add(200*time.Millisecond), here, there)
		assert.False(t, here.Blocked(now, bad), i)
		assert.False(t, there.Blocked(now, bad), i)
	}
}

// exchange sends all updates of two entries to each other, twice, so that relayed ones
// arrive as well.
func exchange(now time.Time, a, b *poison.Detector) {
	for range 2 {
		fromA, _ := a.Updates(now, 0)
		fromB, _ := b.Updates(now, 0)
		a.Merge(now, fromB)
		b.Merge(now, fromA)
	}
}

// Each of three entries sees one crash during a request. All of them block it once they
// have exchanged updates. An entry that starts later learns of it from any one of them,
// although that one saw only a single crash itself.
func TestCrashesOfAllEntriesCount(t *testing.T) {
	entries := []*poison.Detector{newDetector(), newDetector(), newDetector()}
	for i, l := range entries {
		l.RecordCrash(at(time.Duration(i)*time.Second), bad, poison.Attempt{Endpoint: name(i), Lasted: soon})
	}
	now := at(3 * time.Second)
	for i := range entries {
		exchange(now, entries[i], entries[(i+1)%len(entries)])
	}
	exchange(now, entries[0], entries[1])
	for _, l := range entries {
		assert.True(t, l.Blocked(now, bad))
	}
	newEntry := newDetector()
	later := now.Add(10 * time.Minute)
	updates, upTo := entries[2].Updates(later, 0)
	newEntry.Merge(later, updates)
	assert.True(t, newEntry.Blocked(later, bad))
	more, _ := entries[2].Updates(later, upTo)
	assert.Empty(t, more, "each update is sent once")
}

// Entries must not relay updates to each other endlessly, which would keep a request
// blocked and fill the links.
func TestRelayedUpdatesExpire(t *testing.T) {
	a, b := newDetector(), newDetector()
	for i := range 3 {
		a.RecordCrash(at(0), bad, poison.Attempt{Endpoint: name(i), Lasted: soon})
	}
	exchange(at(time.Second), a, b)
	seqA, seqB := a.LatestSeq(), b.LatestSeq()
	for i := range 100 {
		exchange(at(time.Duration(i)*time.Minute), a, b)
	}
	assert.Equal(t, seqA, a.LatestSeq())
	assert.Equal(t, seqB, b.LatestSeq())
	assert.False(t, b.Blocked(at(100*time.Minute), bad))
}

// During an outage all endpoints crash again and again, with other requests running each
// time. The number of records stays bounded, and a blocked content stays blocked.
func TestDetectorIsBounded(t *testing.T) {
	l := newDetector()
	for i := range 3 {
		l.RecordCrash(at(0), bad, poison.Attempt{Endpoint: name(i), Lasted: soon})
	}
	for i := range 10_000 {
		now := at(time.Duration(i) * time.Millisecond)
		l.RecordCrash(now, uint64(i+100_000), poison.Attempt{Endpoint: name(i / 16), Lasted: time.Second})
	}
	updates, _ := l.Updates(at(10*time.Second), 0)
	assert.LessOrEqual(t, len(updates), 256)
	total, seq := 0, uint64(0)
	for {
		updates, upTo := l.Updates(at(10*time.Second), seq)
		if len(updates) == 0 {
			break
		}
		total, seq = total+len(updates), upTo
	}
	assert.LessOrEqual(t, total, 2048+3)
	assert.True(t, l.Blocked(at(10*time.Second), bad))
}

// During a burst of crashes an innocent request that is repeated runs at three crashed
// engines, and no entry blocks it. An entry that starts after the burst gets these crashes
// as updates and must judge them by the crash rate of the burst, not by its own.
func TestCrashRateOfBurstIsShared(t *testing.T) {
	const innocent = 1
	there := newDetector()
	now := at(0)
	for i := range 12 {
		now = at(time.Duration(i) * 700 * time.Millisecond)
		there.RecordCrash(now, uint64(100+i), poison.Attempt{Endpoint: name(i), Lasted: time.Second})
	}
	for i := range 3 {
		there.RecordCrash(now, innocent, poison.Attempt{Endpoint: name(i), Lasted: time.Second})
	}
	assert.False(t, there.Blocked(now, innocent))
	later := now.Add(time.Minute)
	newEntry := newDetector()
	updates, _ := there.Updates(later, 0)
	newEntry.Merge(later, updates)
	assert.False(t, newEntry.Blocked(later, innocent))
}

// An innocent request ran at three crashed engines during a burst of crashes. It is sent
// again after the burst, and one more engine crashes. It must not be blocked for that.
func TestCrashAfterBurstDoesNotBlock(t *testing.T) {
	const innocent = 1
	l := newDetector()
	for i := range 12 {
		l.RecordCrash(at(time.Duration(i)*700*time.Millisecond), uint64(100+i), poison.Attempt{Endpoint: name(i), Lasted: time.Second})
	}
	for i := range 3 {
		l.RecordCrash(at(8*time.Second), innocent, poison.Attempt{Endpoint: name(i), Lasted: time.Second})
	}
	later := at(2 * time.Minute)
	l.RecordCrash(later, innocent, poison.Attempt{Endpoint: name(20), Lasted: time.Second})
	assert.False(t, l.Blocked(later, innocent))
}

// The table is full of records younger than an hour when two poison requests begin to
// crash engines in turn. Both must be blocked, whether or not the other records are.
func TestNewContentsAreBlockedWhenFull(t *testing.T) {
	const records, another = 2048, 0xbad2
	const interval = 1700 * time.Millisecond // long enough for three crashes to block
	for _, crashes := range []int{1, 2, 3} {
		l := newDetector()
		for i := range records {
			for c := range crashes {
				l.RecordCrash(at(time.Duration(i)*interval), uint64(100_000+i), poison.Attempt{Endpoint: fmt.Sprint("other-", i, "-", c), Lasted: soon})
			}
		}
		now := at(records * interval)
		assert.Equal(t, crashes == 3, l.Blocked(now, 100_000+records/2))
		for i := range 5 {
			now = now.Add(10 * time.Second)
			for _, content := range []uint64{bad, another} {
				l.RecordCrash(now, content, poison.Attempt{Endpoint: fmt.Sprint(name(i), "-", content), Lasted: soon})
			}
		}
		assert.True(t, l.Blocked(now, bad), "%d crashes of each other record", crashes)
		assert.True(t, l.Blocked(now, another), "%d crashes of each other record", crashes)
	}
}

// Records whose crashes were cleared by a complete answer are removed before those that
// may still lead to a block.
func TestClearedRecordsAreRemovedFirst(t *testing.T) {
	l := newDetector()
	for i := range 2 {
		l.RecordCrash(at(0), bad, poison.Attempt{Endpoint: name(i), Lasted: soon})
	}
	for i := range 2100 {
		now := at(time.Duration(i+1) * 100 * time.Millisecond)
		l.RecordCrash(now, uint64(100_000+i), poison.Attempt{Endpoint: fmt.Sprint("other-", i), Lasted: time.Second})
		l.RecordSuccess(now.Add(time.Millisecond), uint64(100_000+i))
	}
	now := at(5 * time.Minute)
	l.RecordCrash(now, bad, poison.Attempt{Endpoint: name(2), Lasted: soon})
	assert.True(t, l.Blocked(now, bad))
}
