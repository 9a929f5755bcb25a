// Package streamorigin tells daemons which software version began a stream, so that any of them can continue it there. A daemon
// remembers the streams that it began. While a service has several versions, it also tells home daemons of each stream before it
// passes on the first event: two chosen by rendezvous hashing among the daemons of its region, or all if these are few. When it
// stops, it tells others what it remembers.
//
// A daemon that is to continue a stream asks those that may be homes. If none of them knows the stream, and a single version was
// listed for longer than streams last, up to the present, that version began it. A row of the store records which versions were listed
// lately, for daemons that have just started or have not heard of all. Further rows keep which version began streams.
package streamorigin

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/streamorigin"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/presence"
)

// publishTime is the age of the streams that homes are told of once a service has several versions: of older ones few are still
// under way.
const publishTime = 30 * time.Second

// Options configures a Registry.
type Options struct {
	Link     peerlink.Carrier
	Topology peerlink.Topology
	// Presence records which daemons were heard lately.
	Presence *presence.List
	// Confirm asks a listed back end for its incarnation. It returns CertaintySure if that is the listed one, CertaintyRestarted if it
	// is another one, and CertaintyUnknown if the back end can't be asked. Nil takes all for sure.
	Confirm func(ctx context.Context, backend backendpool.Backend) streamorigin.Certainty
	// Verify makes the registry know all versions that were listed or recorded in the store at a moment after since. Nil always fails:
	// the store can't be asked.
	Verify func(ctx context.Context, since time.Time) error
	// Archive keeps the beginnings of streams in the store; nil keeps none.
	Archive func() *Archive
	// Stopping reports whether this daemon stops; nil means never.
	Stopping func() bool
	// Now is the clock; nil means clock.Now.
	Now func() time.Time
	Log logrus.FieldLogger
}

// Registry remembers and finds the beginnings of streams. It is safe for concurrent use.
type Registry struct {
	options Options
	self    string
	// startedAt is when this daemon started: it has seen no list of before.
	startedAt time.Time
	// silence are the daemons that did not confirm or answer. Others are told in their place for a moment.
	silence   *presence.Unresponsive
	questions *peerlink.Questions[answer]
	confirms  *peerlink.Questions[struct{}]

	mutex sync.Mutex
	// own are the streams that this daemon began, by service, and told those of other daemons.
	own  map[identity.ServiceName]*streamorigin.Table
	told *streamorigin.Table
	// recalled are streams that were read from the store.
	recalled *streamorigin.Table
	listed   *streamorigin.Listed
	// listedSince is when the list was first known, and earlier what is known of the versions that were listed before.
	listedSince time.Time
	earlier     Earlier
	contact     contact
}

// Earlier is what is known of the versions that were listed before this daemon knew the list.
type Earlier int

const (
	// EarlierUnknown means that there may have been others.
	EarlierUnknown Earlier = iota
	// EarlierUnrecorded means that no daemon has recorded any, and that no back end was removed from the list lately: a new deployment, or
	// one of earlier builds.
	EarlierUnrecorded
	// EarlierKnown means that all are known.
	EarlierKnown
)

// answer is an answer of another daemon, or the evidence that it sends before one.
type answer struct {
	answerMessage
	// evidence is nil in an answer.
	evidence *evidenceMessage
	from     string
}

// New returns a Registry that answers the questions of other daemons at once.
func New(options Options) *Registry {
	if options.Now == nil {
		options.Now = clock.Now
	}
	made := &Registry{
		options: options, self: options.Link.Address(), startedAt: options.Now(), silence: presence.NewUnresponsive(options.Presence),
		questions: peerlink.NewQuestions[answer](), confirms: peerlink.NewQuestions[struct{}](),
		own: map[identity.ServiceName]*streamorigin.Table{}, told: streamorigin.NewTable(), recalled: streamorigin.NewTable(), listed: streamorigin.NewListed(),
	}
	peerlink.HandleDecoded(options.Link, peerlink.KindStreamBegin, made.receiveBegin)
	peerlink.HandleDecoded(options.Link, peerlink.KindStreamBeginConfirm, made.receiveConfirm)
	peerlink.HandleDecoded(options.Link, peerlink.KindStreamQuestion, made.receiveQuestion)
	peerlink.HandleDecoded(options.Link, peerlink.KindStreamAnswer, made.receiveAnswer)
	peerlink.HandleDecoded(options.Link, peerlink.KindStreamEvidence, made.receiveEvidence)
	peerlink.HandleDecoded(options.Link, peerlink.KindStreamHandover, made.receiveHandover)
	return made
}

// NotifyBackendsListed applies a change of the list of back ends. Homes are told of the streams of services that have several
// versions since then.
func (r *Registry) NotifyBackendsListed(changed []backendpool.Backend, gone []identity.BackendID) {
	now := r.options.Now()
	r.mutex.Lock()
	if r.listedSince.IsZero() {
		r.listedSince = now
	}
	streams := r.recentOf(now, r.listed.Update(now, changed, gone))
	r.mutex.Unlock()
	r.publish(streams)
}

// AdoptEarlier adds versions that were listed before this daemon knew the list, or of which it has not heard.
func (r *Registry) AdoptEarlier(versions map[identity.ServiceName][]identity.SoftwareVersion, earlier Earlier) {
	now := r.options.Now()
	r.mutex.Lock()
	r.earlier = max(r.earlier, earlier)
	streams := r.recentOf(now, r.listed.Adopt(now, versions, r.contact.missed(now)))
	r.mutex.Unlock()
	r.publish(streams)
}

// RecentVersions returns the versions of each service that were listed lately, as far as this daemon knows, and whether these are
// all but those of which it has not heard.
func (r *Registry) RecentVersions() (versions map[identity.ServiceName][]identity.SoftwareVersion, complete bool) {
	now := r.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.listed.Recent(now), r.complete(now)
}

// complete reports whether this daemon knows all versions that were listed within the last Retention. The caller holds the mutex.
func (r *Registry) complete(now time.Time) bool {
	return r.earlier != EarlierUnknown || (!r.listedSince.IsZero() && now.Sub(r.listedSince) >= streamorigin.Retention)
}

// errNoStore is returned if there is no store to ask.
var errNoStore = errors.New("there is no store to ask")

// verify asks the store, see Options.Verify.
func (r *Registry) verify(ctx context.Context, since time.Time) error {
	if r.options.Verify == nil {
		return errNoStore
	}
	return r.options.Verify(ctx, since)
}

// Several reports whether several versions of a service were listed lately.
func (r *Registry) Several(service identity.ServiceName) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.listed.Several(r.options.Now(), service)
}

// Begun records which back end began a stream. It must be called before the first event is passed on. Confirmed is set if the back
// end has told that it is the listed incarnation.
func (r *Registry) Begun(stream streamorigin.Stream, backend backendpool.Backend, confirmed bool) {
	now, key := r.options.Now(), stream.Key()
	origin := *streamorigin.NewOrigin(backend, confirmed, now)
	r.mutex.Lock()
	table := r.own[stream.Service]
	if table == nil {
		table = streamorigin.NewTable()
		r.own[stream.Service] = table
	}
	table.Put(now, key, origin)
	several := r.listed.Several(now, stream.Service)
	r.mutex.Unlock()
	if several {
		r.publish([]beginning{{Key: uint64(key), Version: string(origin.Version), Backend: origin.Backend}})
	}
}

// publish tells the homes of streams of them, and archives them.
func (r *Registry) publish(streams []beginning) {
	r.tell(streams, maxRounds)
	if archive := r.archive(); archive != nil {
		archive.add(streams)
	}
}

// archive returns the archive; nil if there is none.
func (r *Registry) archive() *Archive {
	if r.options.Archive == nil {
		return nil
	}
	return r.options.Archive()
}

// recall records streams that began some time ago, and returns how many of them were unknown.
func (r *Registry) recall(streams map[streamorigin.Key]streamorigin.Origin) int {
	now, added := r.options.Now(), 0
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for key, origin := range streams {
		if _, known := r.recalled.Get(now, key); !known {
			added++
			r.recalled.Put(now, key, origin)
		}
	}
	return added
}
