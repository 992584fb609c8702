// Package answerhead checks the heads of HTTP answers more strictly than package http, which keeps
// what it can't interpret: a head that some recipient reads otherwise is no answer.
package answerhead

import (
	"net/http"
	"strings"

	"github.com/joomcode/errorx"
)

// ErrMalformed is returned for a head that is no answer in the protocol.
var ErrMalformed = errorx.NewNamespace("answerhead").NewType("malformed")

// minStatus is the least status of RFC 9110.
const minStatus = 100

// Check returns an error if the head of an answer is malformed, or belongs to another protocol.
func Check(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return ErrMalformed.New("version %d.%d", resp.ProtoMajor, resp.ProtoMinor)
	case resp.StatusCode < minStatus:
		return ErrMalformed.New("status %d", resp.StatusCode)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return ErrMalformed.New("the protocol is switched, which nobody asked for")
	case resp.StatusCode < http.StatusOK && hasFraming(resp):
		return ErrMalformed.New("an interim answer with a body")
	}
	return CheckNames(resp.Header)
}

// hasFraming reports whether the head announces a body. Package http removes the fields of an answer
// that may not have one, or of some of them only.
func hasFraming(resp *http.Response) bool {
	return resp.ContentLength > 0 || len(resp.TransferEncoding) > 0 || resp.Header.Get("Content-Length") != "" || resp.Header.Get("Transfer-Encoding") != ""
}

// EndsWithConnection reports whether the body of an answer has neither a length nor chunks, and so ends
// with its connection.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// CheckNames returns an error if the name of a field, of a head or a trailer, has a blank, which
// package http lets pass.
func CheckNames(fields http.Header) error {
	for name := range fields {
		if strings.ContainsRune(name, ' ') {
			return ErrMalformed.New("a blank in the name of field %.40q", name)
		}
	}
	return nil
}
