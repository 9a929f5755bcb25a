// Package bearer reads the credential of an HTTP request (RFC 6750).
package bearer

import (
	"net/http"
	"strings"
)

// Token returns the token of the Authorization header; false without one of the bearer
// scheme, whose name is not case-sensitive.
func Token(header http.Header) (string, bool) {
	scheme, token, _ := strings.Cut(header.Get("Authorization"), " ")
	return strings.TrimSpace(token), strings.EqualFold(scheme, "bearer")
}

// Key returns the token of the Authorization header; empty without one of the bearer scheme.
func Key(header http.Header) string {
	token, found := Token(header)
	if !found {
		return ""
	}
	return token
}
