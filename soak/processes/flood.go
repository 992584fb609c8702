package processes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"ebonypulley/standin"
)

const (
	// vmMemoryMB and vmDescriptors are the limits of each entry's VM, those of the smallest.
	vmMemoryMB    = 88
	vmDescriptors = 4100
	// floodConns is the number of connections of a flood, floodBody the size in bytes of the
	// bodies that some of them send.
	floodConns = 1200
	floodBody  = 256 << 10
	// floodKinds is the number of kinds of its connections; the first sends whole requests.
	floodKinds = 3
	// memoryInterval is the interval between readings of the memory of all entries.
	memoryInterval = 50 * time.Millisecond
)

// flood opens many connections to one entry and keeps them for a while: a third sends a whole
// request and doesn't read, a third all of a request but its last byte, a third nothing.
func (r *run) flood(e *entry) {
	var conns []net.Conn
	for i := range floodConns {
		nc, err := net.DialTimeout("tcp", e.listen, time.Second)
		if err != nil {
			r.note("flood of %s ends after %d connections: %v", e.name, i, err)
			break
		}
		conns = append(conns, nc)
		_ = nc.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)) // the entry may not read
		if i%floodKinds == 0 {
			r.arrivals.recordRequest("app")
		}
		_, _ = nc.Write(floodRequest(fmt.Sprintf("%d-flood-%d", r.set.Seed, i), i%floodKinds))
	}
	time.Sleep(r.randomMilliseconds(300, 1500))
	for _, nc := range conns {
		_ = nc.Close()
	}
}

// floodRequest returns what a connection of a kind sends.
func floodRequest(id string, kind int) []byte {
	h := make(http.Header)
	standin.SetClientHeaders(h, attemptID(id, identity{workspace: school}), callerTimeout)
	standin.SetWorkspaceKey(h, schoolKey)
	var text strings.Builder
	_ = h.Write(&text) // strings.Builder returns no errors
	head := "POST /look/ HTTP/1.1\r\nHost: app.example\r\n" + text.String()
	switch kind {
	case 0:
		return []byte(head + "Content-Length: 0\r\n\r\n")
	case 1:
		return []byte(head + "Content-Length: " + strconv.Itoa(floodBody) + "\r\n\r\n" + strings.Repeat("x", floodBody-1))
	default:
		return nil
	}
}

// watchMemory checks until ctx ends that no entry uses more memory than its VM has.
func (r *run) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range r.entries {
			mb := e.memoryMB()
			r.mu.Lock()
			exceeds := mb > vmMemoryMB && r.report.PeakMemoryMB <= vmMemoryMB
			r.report.PeakMemoryMB = max(r.report.PeakMemoryMB, mb)
			r.mu.Unlock()
			if exceeds {
				r.violation("%s uses %d MB of memory, its VM has %d", e.name, mb, vmMemoryMB)
			}
		}
		time.Sleep(memoryInterval)
	}
}

// memoryMB returns the resident memory of the current process, zero if it has exited.
func (e *entry) memoryMB() int {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}
