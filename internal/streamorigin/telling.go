package streamorigin

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/streamorigin"
	"github.com/lotusward/lotusward/internal/peerlink"
)

const (
	// confirmTimeout is how long a home may take to confirm before it is told again, up to maxTells times. A daemon that was
	// heard within heardTime need not confirm.
	confirmTimeout = 25 * time.Millisecond
	maxTells       = 3
	heardTime      = time.Second
	// maxRounds is how often other homes are chosen for a stream since one did not confirm.
	maxRounds = 3
	// maxPerDatagram bounds the streams in one datagram. Each takes 20 bytes and the name of its version, which may be a commit's.
	maxPerDatagram = 100
)

// recentOf returns the streams of services that this daemon began within publishTime. The caller holds the mutex.
func (r *Registry) recentOf(now time.Time, services []identity.ServiceName) []beginning {
	var streams []beginning
	for _, service := range services {
		table := r.own[service]
		if table == nil {
			continue
		}
		for key, origin := range table.Since(now.Add(-publishTime)) {
			streams = append(streams, beginning{Key: uint64(key), Version: string(origin.Version), Backend: origin.Backend})
		}
	}
	return streams
}

// tell tells the homes of streams of them, and others in place of those that don't confirm, up to a number of rounds.
func (r *Registry) tell(streams []beginning, rounds int) {
	byHome := map[string][]beginning{}
	for _, each := range streams {
		for _, home := range r.homes(streamorigin.Key(each.Key)) {
			if home != r.self {
				byHome[home] = append(byHome[home], each)
			}
		}
	}
	for home, all := range byHome {
		for part := range slices.Chunk(all, maxPerDatagram) {
			r.tellHome(home, part, rounds)
		}
	}
}

// tellHome tells one home of streams. If it was not heard lately, it has to confirm; without a confirmation other homes are told.
func (r *Registry) tellHome(home string, streams []beginning, rounds int) {
	message := beginMessage{Streams: streams}
	if r.options.Presence.HeardSince(home, r.options.Now().Add(-heardTime)) {
		peerlink.Tell(r.options.Link, home, peerlink.KindStreamBegin, &message)
		return
	}
	message.Number = r.confirms.Next()
	confirmed := r.confirms.Await(message.Number, 1)
	r.tellUntilConfirmed(home, &message, confirmed, maxTells, rounds)
}

// tellUntilConfirmed tells a home of streams up to a number of times, and then others in its place.
func (r *Registry) tellUntilConfirmed(home string, message *beginMessage, confirmed <-chan struct{}, times, rounds int) {
	peerlink.Tell(r.options.Link, home, peerlink.KindStreamBegin, message)
	time.AfterFunc(confirmTimeout, func() {
		select {
		case <-confirmed:
			r.confirms.Forget(message.Number)
			return
		default:
		}
		if times > 1 {
			r.tellUntilConfirmed(home, message, confirmed, times-1, rounds)
			return
		}
		r.confirms.Forget(message.Number)
		if r.silence.Add(home, r.options.Now()) {
			r.options.Log.WithFields(logrus.Fields{"daemon": home, "streams": len(message.Streams)}).
				Warn("A daemon doesn't confirm which versions began streams. Others are told.")
		}
		if rounds > 1 {
			r.tell(message.Streams, rounds-1)
		}
	})
}

func (r *Registry) receiveBegin(from string, got beginMessage) {
	now := r.options.Now()
	r.mutex.Lock()
	for _, each := range got.Streams {
		r.told.Put(now, streamorigin.Key(each.Key), streamorigin.Origin{Version: identity.SoftwareVersion(each.Version), Backend: each.Backend})
	}
	r.mutex.Unlock()
	if got.Number > 0 {
		peerlink.Tell(r.options.Link, from, peerlink.KindStreamBeginConfirm, &confirmMessage{Number: got.Number})
	}
}

func (r *Registry) receiveConfirm(_ string, got confirmMessage) {
	r.confirms.Answer(got.Number, struct{}{})
}
