package forward

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/relay"
)

// Header fields between daemons. Messages by position can't grow: daemons of earlier builds would refuse them.
const (
	// headerConfirmation is the Confirmation of a request. Earlier builds confirm nothing.
	headerConfirmation = "Forward-Confirmation"
	// headerIncarnation is the incarnation that the back end of an answer named.
	headerIncarnation = "Forward-Incarnation"
	// headerNotSent says that a request was not sent because of the back end's incarnation: notSentRestarted or notSentUnconfirmed.
	headerNotSent      = "Forward-Not-Sent"
	notSentRestarted   = "restarted"
	notSentUnconfirmed = "unconfirmed"
	// headerMalformed names the part of a back end's answer that was malformed.
	headerMalformed = "Forward-Malformed"
)

// confirmationHeader returns the header of a request.
func confirmationHeader(dispatch *relay.Dispatch) http.Header {
	header := http.Header{"Content-Type": {contentType}}
	if dispatch.Confirmation != relay.ConfirmationNone {
		header.Set(headerConfirmation, strconv.Itoa(int(dispatch.Confirmation)))
	}
	return header
}

// confirmationOf returns the Confirmation that a request asks for. A malformed one counts as required.
func confirmationOf(header http.Header) relay.Confirmation {
	text := header.Get(headerConfirmation)
	if text == "" {
		return relay.ConfirmationNone
	}
	number, err := strconv.Atoi(text)
	if confirmation := relay.Confirmation(number); err == nil && confirmation == relay.ConfirmationWanted {
		return confirmation
	}
	return relay.ConfirmationRequired
}

// setIncarnation tells which incarnation a back end named.
func setIncarnation(header http.Header, incarnation identity.Incarnation) {
	if incarnation != 0 {
		header.Set(headerIncarnation, strconv.FormatUint(uint64(incarnation), 10))
	}
}

// incarnationOf returns the incarnation that a back end named to another daemon; zero if none.
func incarnationOf(header http.Header) identity.Incarnation {
	incarnation, err := strconv.ParseUint(header.Get(headerIncarnation), 10, 64)
	if err != nil {
		return 0
	}
	return identity.Incarnation(incarnation)
}

// setNotSent tells that a request was not sent because of the back end's incarnation, if that is the cause.
func setNotSent(header http.Header, cause error) {
	switch {
	case errors.Is(cause, relay.ErrRestarted):
		header.Set(headerNotSent, notSentRestarted)
	case errors.Is(cause, relay.ErrUnconfirmed):
		header.Set(headerNotSent, notSentUnconfirmed)
	}
}

// setMalformed tells which part of a back end's answer was malformed, if that is the cause.
func setMalformed(header http.Header, cause error) {
	var malformed *outcome.MalformedError
	if errors.As(cause, &malformed) {
		header.Set(headerMalformed, malformed.Part)
	}
}

// notSentCause returns the error behind headerNotSent; nil if there is none.
func notSentCause(header http.Header) error {
	switch header.Get(headerNotSent) {
	case notSentRestarted:
		return relay.ErrRestarted
	case notSentUnconfirmed:
		return relay.ErrUnconfirmed
	}
	return nil
}
