package httpexchange

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/lotusward/lotusward/internal/core/outcome"
)

// Status codes of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// Parts of answers that errors name.
const (
	partHead       = "head"
	partVersion    = "protocol version"
	partStatus     = "status code"
	partPhrase     = "reason phrase"
	partCoding     = "transfer coding"
	partInterim    = "interim answer"
	partFieldName  = "field name"
	partFieldValue = "field value"
)

// checkHead returns *outcome.MalformedError for what net/http reads as the head of an answer and HTTP/1.1 does not permit.
func checkHead(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1: // a later minor version is read as HTTP/1.1 (RFC 9110, section 2.5)
		return outcome.NewMalformedError(partVersion, response.Proto)
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		return outcome.NewMalformedError(partStatus, response.Status)
	case !httpguts.ValidHeaderFieldValue(response.Status):
		return outcome.NewMalformedError(partPhrase, response.Status)
	case response.StatusCode < http.StatusOK && declaredBody(response) != "":
		return outcome.NewMalformedError(partInterim, response.Status+", "+declaredBody(response))
	}
	return checkFields(response.Header)
}

// declaredBody returns the field with which an interim answer, which has no body, declares one (RFC 9110, section 8.6, and RFC 9112,
// section 6.1); empty if none. What the sender means as its body would be read as the next head.
func declaredBody(interim *http.Response) string {
	if len(interim.TransferEncoding) > 0 {
		return "Transfer-Encoding: " + strings.Join(interim.TransferEncoding, ", ")
	}
	if length := interim.Header.Get("Content-Length"); length != "" && length != "0" {
		return "Content-Length: " + length
	}
	return ""
}

// earlierVersion begins the answers of HTTP/1.0, which has no Transfer-Encoding.
const earlierVersion = "HTTP/1.0"

// checkCoding returns *outcome.MalformedError for an answer of HTTP/1.0 that names a transfer coding: its framing is faulty, even if it
// has a length (RFC 9112, section 6.1). net/http drops the field, so that it is looked up in the copied head.
func checkCoding(response *http.Response, copied *bytes.Buffer) error {
	if response.ProtoAtLeast(1, 1) || copied == nil {
		return nil
	}
	reader := textproto.NewReader(bufio.NewReader(copied))
	if _, err := reader.ReadLine(); err != nil {
		return err
	}
	fields, err := reader.ReadMIMEHeader()
	if err != nil {
		return err
	}
	if coding, found := fields["Transfer-Encoding"]; found {
		return outcome.NewMalformedError(partCoding, strings.Join(coding, ", "))
	}
	return nil
}

// checkFields returns *outcome.MalformedError for a field whose name or value HTTP does not permit (RFC 9110, section 5). net/http reads
// names with blanks, also where they resemble the fields that delimit a body.
func checkFields(header http.Header) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return outcome.NewMalformedError(partFieldName, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return outcome.NewMalformedError(partFieldValue, name+": "+value)
			}
		}
	}
	return nil
}
