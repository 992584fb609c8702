package wire

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that concern one connection only (RFC 9110,
// section 7.6.1) and are not passed on.
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

// Headers returns the end-to-end headers of h.
func Headers(h http.Header) []Header {
	named := make(map[string]bool)
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var list []Header
	for name, values := range h {
		if hopByHop[name] || named[name] {
			continue
		}
		for _, v := range values {
			list = append(list, Header{Name: name, Value: v})
		}
	}
	return list
}
