package peerlink

import (
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/version"
)

// maximumComplaints bounds the senders and kinds that are remembered, so that a line for each stays a line for each.
const maximumComplaints = 1024

// complaints remembers of whom it was said that what it sends can't be read.
type complaints struct {
	mutex sync.Mutex
	told  map[complaint]bool
}

type complaint struct {
	from string
	kind Kind
}

// isNew tells whether it was not yet said of a sender and kind, and remembers it.
func (c *complaints) isNew(from string, kind Kind) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	one := complaint{from: from, kind: kind}
	if c.told[one] || len(c.told) >= maximumComplaints {
		return false
	}
	if c.told == nil {
		c.told = map[complaint]bool{}
	}
	c.told[one] = true
	return true
}

// Malformed implements Carrier. Builds that differ in a message's shape would otherwise pass over each other's words
// in silence, and each would believe that there is nothing to be told.
func (l *Link) Malformed(from string, kind Kind, err error) {
	if l.observeMalformed != nil {
		l.observeMalformed(kind)
	}
	if l.complaints.isNew(from, kind) {
		l.log.WithError(err).WithField("from", from).WithField("kind", kind.String()).WithField("own_build", version.String()).
			Warn("Messages of another daemon can't be read.")
	}
}

// ObserveMalformed sets who is told of the kind of each datagram that can't be read. It must not block.
func (l *Link) ObserveMalformed(observe func(kind Kind)) { l.observeMalformed = observe }

// noteUntold says once of a kind that a message of this daemon's own can't be told: what others don't hear they take for
// nothing to be told.
func (l *Link) noteUntold(kind Kind, bytes int, err error) {
	if !l.complaints.isNew(l.address, kind) {
		return
	}
	line := l.log.WithFields(logrus.Fields{"kind": kind.String(), "bytes": bytes, "most_bytes": maximumDatagram})
	if err != nil {
		line.WithError(err).Error("A message can't be encoded, and isn't told.")
		return
	}
	line.Warn("A message is too long for a datagram, and isn't told.")
}
