package wire

import (
	"net/http"
	"strings"
)

// hopByHop holds the headers that apply to a single connection and are not
// forwarded (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// EndToEndHeaders returns the end-to-end headers of h: all but the hop-by-hop ones and
// those that its Connection header lists.
func EndToEndHeaders(h http.Header) []Header {
	perConnection := make(map[string]bool)
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			perConnection[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var list []Header
	for name, values := range h {
		if hopByHop[name] || perConnection[name] {
			continue
		}
		for _, v := range values {
			list = append(list, Header{Name: name, Value: v})
		}
	}
	return list
}
