package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// UntilClose is an answer that has neither a length nor chunks and ends with its
// connection.
type UntilClose struct {
	nc net.Conn
	bw *bufio.Writer
}

// NewUntilClose takes over the connection of w and writes a head with status 200 and
// the header of w.
func NewUntilClose(w http.ResponseWriter) (*UntilClose, error) {
	nc, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	u := &UntilClose{nc: nc, bw: rw.Writer}
	_, _ = io.WriteString(u.bw, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(u.bw) // the error recurs at Flush
	_, _ = io.WriteString(u.bw, "\r\n")
	return u, u.bw.Flush()
}

// Write sends bytes of the body at once.
func (u *UntilClose) Write(b []byte) (int, error) {
	if _, err := u.bw.Write(b); err != nil {
		return 0, err
	}
	return len(b), u.bw.Flush()
}

// Close ends the answer.
func (u *UntilClose) Close() { _ = u.nc.Close() }

// Reset breaks the answer off with a TCP reset.
func (u *UntilClose) Reset() {
	if tc, ok := u.nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = u.nc.Close()
}

// EventText returns the events of a Worker's stream with the numbers from first to last.
func EventText(first, last int) string {
	text := ""
	for i := first; i <= last; i++ {
		text += fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
	}
	return text
}
