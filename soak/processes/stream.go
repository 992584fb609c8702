package processes

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"
)

// stream is what a caller has of a stream.
type stream struct {
	// next is the number of the next event, firstAttempt the ID of the attempt that brought the
	// first one, at begun.
	next         int
	firstAttempt string
	begun        time.Time
	// versions are the software versions of the workers that wrote the events, version is that of
	// the last one.
	versions map[string]bool
	version  string
	// runs are the runs that wrote the events, lastRun is that of the last one.
	runs    map[string]bool
	lastRun string
	// broken says that the last attempt ended in the middle of the stream, retryAfter when the
	// caller was asked to come back, if it was.
	broken bool
	// repeatable says that the last attempt failed before the first event and may be repeated.
	repeatable bool
	retryAfter time.Duration
	// breaksAfter is the event after which the caller's connection breaks, 0 for none.
	breaksAfter int
	// readPause is the pause of a caller that reads slowly before each event.
	readPause time.Duration
	// events is the number of events of the whole stream.
	events int
	// deadline is when the caller gives up, prompt the number of the prompt's own part.
	deadline time.Time
	prompt   int
}

func newStream(deadline time.Time, prompt int) *stream {
	return &stream{next: 1, events: streamEvents, versions: make(map[string]bool), runs: make(map[string]bool), deadline: deadline, prompt: prompt}
}

func (r *run) newStream() *stream {
	return newStream(time.Now().Add(callerTimeout), r.randomInt(math.MaxInt32))
}

// eventText returns the text of an event. No two events of any runs have the same.
func eventText(attempt string, number int, version, run string) string {
	return fmt.Sprintf("%s %d %s %s", attempt, number, version, run)
}

// accept checks the next event of an attempt and records it. Unless the stream may be resumed, all
// its events must come from one run; otherwise none may come from a run that another one followed.
func (s *stream) accept(attempt, number, text string, resumable bool) error {
	fields := strings.Fields(text)
	if len(fields) != 4 || text != eventText(attempt, s.next, fields[2], fields[3]) || number != strconv.Itoa(s.next) {
		return fmt.Errorf("event %d has number %q and text %q", s.next, number, text)
	}
	version, run := fields[2], fields[3]
	if s.lastRun != "" && run != s.lastRun && (!resumable || s.runs[run]) {
		return fmt.Errorf("event %d comes from run %s, those before it from %s", s.next, run, s.lastRun)
	}
	if s.next == 1 {
		s.firstAttempt, s.begun = attempt, time.Now()
	}
	s.versions[version], s.version = true, version
	s.runs[run], s.lastRun = true, run
	s.next++
	return nil
}

// read reads the answer to an attempt. Its error is errBrokenConn, that of the connection, or an
// errWrongAnswer.
func (s *stream) read(body io.Reader, attempt string, resumable bool) error {
	number, text := "", ""
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			number = value
		case name == "data":
			text += value
		case lines.Text() == "" && text != "":
			if err := s.accept(attempt, number, text, resumable); err != nil {
				return fmt.Errorf("%w: %w", errWrongAnswer, err)
			}
			number, text = "", ""
			time.Sleep(s.readPause)
			if s.next-1 == s.breaksAfter {
				return errBrokenConn
			}
		}
	}
	switch {
	case lines.Err() != nil:
		return lines.Err()
	case number+text != "":
		return fmt.Errorf("%w: ended without an error in the middle of event %d", errWrongAnswer, s.next)
	case s.next <= s.events:
		return fmt.Errorf("%w: ended without an error after %d of %d events", errWrongAnswer, s.next-1, s.events)
	}
	return nil
}
