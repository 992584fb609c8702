package share

// Room is what the endpoints of a service may hold, in calls.
type Room struct {
	// Slots is the number that they run at a time, Limit that with a short queue.
	Slots, Limit float64
}

// Calls are calls that wait or run, by whether they can still meet their target.
type Calls struct {
	OnTime, Late float64
}

// Short reports whether these calls of all entries are more than the endpoints run at a time.
func (r Room) Short(all Calls) bool { return all.OnTime+all.Late > r.Slots }

// Share returns how many calls an entry may have at the endpoints, given its own calls and
// those of all entries. Calls on time divide the limit in proportion to demand. Late ones get
// the slots that those on time leave, and never wait at an endpoint.
func (r Room) Share(own, all Calls) Calls {
	var s Calls
	if all.OnTime > 0 {
		s.OnTime = r.Limit * own.OnTime / all.OnTime
	}
	if all.Late > 0 {
		s.Late = max(r.Slots-all.OnTime, 0) * own.Late / all.Late
	}
	return s
}
