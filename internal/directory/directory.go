package directory

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/member"
	"github.com/lotusward/lotusward/internal/core/rollout"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/relay"
)

// Intervals, timeouts and limits of store reads. They apply to the reader, the daemon that reads the store for all.
const (
	// defaultInterval is how often the reader checks that what operators declared is still the newest, unless the
	// options set an interval.
	defaultInterval = 500 * time.Millisecond
	// declaredInterval is how often what operators declared is read in full although nothing changed, to find rows
	// of kinds that are not known yet.
	declaredInterval = 10 * time.Second
	// backendsInterval is how often the list is read in full although no change was reported; a large list is read
	// less often, at bytesPerSecond.
	backendsInterval = 20 * time.Second
	bytesPerSecond   = 4 << 10
	maxReadInterval  = 60 * time.Second
	// backendWait and memberWait are how long calls for changes are held; the first change ends them. Whether the
	// store is reachable at all is seen from the checks.
	backendWait = 3 * time.Second
	memberWait  = 10 * time.Second
	// backendPause and memberPause are the least pause between two such calls: back ends write all the time.
	backendPause = 250 * time.Millisecond
	memberPause  = 250 * time.Millisecond
	failurePause = 150 * time.Millisecond
	// failurePausePerDaemon spreads retries when the calls of all daemons fail, up to maxFailurePause: in large
	// fleets only a few daemons try.
	failurePausePerDaemon = 25 * time.Millisecond
	maxFailurePause       = 500 * time.Millisecond
	// joinFailurePause is the retry pause of starting daemons that know no others: hundreds may start together.
	joinFailurePause = 600 * time.Millisecond
	// maxRetryPause bounds the pause after rate-limited calls.
	maxRetryPause = 2 * time.Second
	callTimeout   = 1500 * time.Millisecond
	// After a rate-limited call, retries of many daemons are spread over limitedSpreadFactor times the retry delay.
	// The spread doubles with each further refusal, maxLimitedDoublings times.
	limitedSpreadFactor = 2
	maxLimitedDoublings = 3
	// hedgeTime is after how long a check without an answer is sent again, and hedgedChecks how many run at a time.
	// A check takes a few milliseconds, or half a second and more while the store is slow.
	hedgeTime    = 500 * time.Millisecond
	hedgedChecks = 3
	// listTimeout bounds reading the whole list of back ends, page by page.
	listTimeout = 15 * time.Second
	// defaultNamingAge is the age assumed for versions found at the start if the options don't set one: no grace
	// period is as long.
	defaultNamingAge = 24 * time.Hour
	// clockSlack allows for monotonic clocks that run at different rates.
	clockSlack = 100 * time.Millisecond
	// maxRememberedVersions is how many named versions of a model are remembered.
	maxRememberedVersions = 8
	// bulletinQueueLength bounds the queue of received bulletins.
	bulletinQueueLength = 64
	// repeatInterval and bulletinRepeats are how often and how many times changes of the list are sent again:
	// single datagrams are lost now and then.
	repeatInterval  = 200 * time.Millisecond
	bulletinRepeats = 2
	// versionInterval is how often the version of the list is sent while it doesn't change, and
	// changedVersionInterval how often while it does.
	versionInterval        = time.Second
	changedVersionInterval = 400 * time.Millisecond
)

// Options configure a Directory.
type Options struct {
	Source Source
	Pool   *backendpool.Pool
	Log    logrus.FieldLogger
	// Interval is how often the reader checks that what operators declared is still the newest; zero selects the
	// default.
	Interval time.Duration
	// NewsBound bounds the age of any daemon's knowledge of operators' declarations while the store answers: by
	// then another daemon has taken over from a failed reader. Zero selects the default.
	NewsBound time.Duration
	// GuessedNaming is the assumed naming time of versions that this daemon finds at its start and for which no
	// daemon reports a time. It must be so early that requests on older weights have ended by the time this daemon
	// is held to the true naming time, which may be long before. Zero selects Started minus defaultNamingAge.
	GuessedNaming time.Time
	// Started is the start time of this process; zero selects the current time.
	Started time.Time
	// SteadyTime is how long after a failed call the store counts as disturbed.
	SteadyTime time.Duration
	// QuietTime is how long no daemon must have reached the store before failed calls count as a disturbance of it.
	QuietTime time.Duration
	// Self is the address under which other daemons know this one.
	Self string
	// Broadcast sends a bulletin to the other daemons; nil if there are none. It must not block.
	Broadcast func(Bulletin)
	// Others returns the addresses of the other daemons; nil if there are none.
	Others func() []string
	// Topology describes where the other daemons are; if its Others is nil, Options.Others is used.
	Topology peerlink.Topology
	// IsOwnZone reports whether the daemon at an address is in this one's zone, so that a request there stays
	// within the zone; nil if zones are unknown.
	IsOwnZone func(address string) bool
	// StoreTime returns how long this daemon's calls to the store take, zero while that is unknown; nil means
	// always unknown.
	StoreTime func() time.Duration
	// OnMembers is called with all daemons when any were added or their descriptors changed; it may be nil and must
	// not block.
	OnMembers func([]member.Descriptor)
	// Peers are asked for data that this daemon lacks; nil if there are none.
	Peers Peers
	// Contacts finds daemons at the start; if nil, this daemon reads the store at once.
	Contacts Contacts
	// Software enables orders and standings of services' software versions.
	Software bool
	// Quarantine is sent to starting daemons, and merged from other daemons; nil if there is none.
	Quarantine Quarantine
}

// Directory implements relay.Control.
type Directory struct {
	options   Options
	messages  chan message
	bulletins chan heardBulletin
	role      *readerRole
	// positions are the store versions up to which the changes of each table are known.
	positions map[table]*atomic.Uint64
	state     atomic.Pointer[relay.State]
	confirmed atomic.Pointer[time.Time]
	// steady is when the store counts as steady again: SteadyTime after the last disturbance began.
	steady atomic.Pointer[time.Time]
	// failedAt is when the last failed call to the store began.
	failedAt atomic.Pointer[time.Time]
	// awakeAt is when the goroutine of Run last observed that the process runs, and awakeSince since when it has
	// run without a pause.
	awakeAt, awakeSince atomic.Pointer[time.Time]
	listed              atomic.Bool
	// contacts are the daemons that this one asks while it has no data.
	contacts contacts
	// missing describes what this daemon lacks, and catchUpRequested has a value when it changed.
	missing          atomic.Pointer[missingData]
	catchUpRequested chan struct{}
	// declaredChanged has a value when what operators declared is known to have changed.
	declaredChanged signal
	// nothingDeclaredAt is when another daemon last announced that operators have declared nothing yet.
	nothingDeclaredAt atomic.Pointer[time.Time]
	// packer holds the packed list for daemons that ask. needsWholeList is set if the changes from another daemon don't
	// lead to its list, until a whole list is adopted.
	packer         packer
	needsWholeList atomic.Bool
	// published are the lists that other daemons may be given.
	published atomic.Pointer[publishedLists]
	malformed *malformedRows

	// The fields below are owned by the goroutine of Run.
	versions map[identity.ModelName][]relay.NamedVersion
	backends *backendList
	// rows are the versions of the operators' rows that were last read.
	rows map[string]uint64
	// started is set after the first read: a version found later was named since then, even if it is a model's
	// first.
	started bool
	// reported is what other daemons last reported on named versions, by model.
	reported     map[identity.ModelName][]SeenVersion
	freshness    map[table]*freshness
	clockSamples clockSamples
	held         heldCall
	reachable    map[table]bool
	changeLog    changeLog
	members      *memberList
	software     *softwareState
	// tryingSentAt is when this daemon last announced that its calls fail.
	tryingSentAt time.Time
	// lastDeclared is the last broadcast of what operators declared, sent to lastDeclaredMembers daemons; nil if there
	// was none.
	lastDeclared        *DeclaredNews
	lastDeclaredMembers int
	// repeats is how many more times the latest changes of the list are to be sent.
	repeats int
	// previousList is the version and digest of the list at the last repeat.
	previousList BackendNews
	// sentVersion is the version of the list that was last sent without its changes, at versionSentAt.
	sentVersion   uint64
	versionSentAt time.Time
}

// heardBulletin is a bulletin with the address of its sender.
type heardBulletin struct {
	from     string
	bulletin Bulletin
}

// table names a group of rows that are read together.
type table string

const (
	tableDeclared table = "declared"
	tableBackends table = "back_ends"
	tableMembers  table = "daemons"
)

// message is posted to the goroutine of Run by the other goroutines. At most one of the pointers is set; none is if
// the call failed.
type message struct {
	table    table
	began    time.Time
	ended    time.Time
	declared *Declared
	listed   *Listed
	changes  *Changes
	members  *Members
	// checked are the rows that were still the newest when the call began.
	checked map[string]uint64
	adopted *adoption
	seen    []SeenVersion
	told    *heldAnswer
	// standing was written by a daemon.
	standing *rollout.Standing
	question *listQuestion
	// unanswered is set while a read or check has had no answer for hedgeTime and is still running.
	unanswered bool
	err        error
	// applied is closed once the message was applied; nil if nobody waits for that.
	applied chan struct{}
}

// New returns a Directory without data; Run fills it.
func New(options Options) *Directory {
	if options.Interval == 0 {
		options.Interval = defaultInterval
	}
	if options.Started.IsZero() {
		options.Started = clock.Now()
	}
	if options.GuessedNaming.IsZero() {
		options.GuessedNaming = options.Started.Add(-defaultNamingAge)
	}
	if options.Others == nil {
		options.Others = func() []string { return nil }
	}
	if options.Topology.Others == nil {
		options.Topology.Others = options.Others
	}
	directory := &Directory{
		options:   options,
		contacts:  contacts{changed: newSignal()},
		messages:  make(chan message),
		bulletins: make(chan heardBulletin, bulletinQueueLength),
		role: newReaderRole(readerRoleOptions{
			self: options.Self, alone: options.Broadcast == nil, interval: options.Interval, newsBound: options.NewsBound, others: options.Others,
			capacity: options.Topology.CapacityOf, storeTime: options.StoreTime,
		}),
		positions:        map[table]*atomic.Uint64{tableDeclared: {}, tableBackends: {}, tableMembers: {}},
		catchUpRequested: make(chan struct{}, 1), declaredChanged: newSignal(),
		versions:  map[identity.ModelName][]relay.NamedVersion{},
		backends:  newBackendList(),
		members:   newMemberList(),
		reported:  map[identity.ModelName][]SeenVersion{},
		freshness: map[table]*freshness{tableDeclared: {}, tableBackends: {}},
		reachable: map[table]bool{},
		malformed: newMalformedRows(),
	}
	directory.software = newSoftwareState(directory.noteStanding)
	directory.confirmed.Store(&time.Time{})
	directory.steady.Store(&time.Time{})
	directory.awakeAt.Store(&time.Time{})
	directory.awakeSince.Store(&time.Time{})
	directory.published.Store(&publishedLists{software: directory.softwareNews()})
	return directory
}

// State implements relay.Control.
func (d *Directory) State() *relay.State { return d.state.Load() }

// ConfirmedAt implements relay.Control.
func (d *Directory) ConfirmedAt() time.Time { return *d.confirmed.Load() }

// Complete reports whether a configuration and the back ends are known.
func (d *Directory) Complete() bool { return d.state.Load() != nil && d.listed.Load() }

// IsReader reports whether this daemon reads the store for all others.
func (d *Directory) IsReader() bool { return d.role.isReader() }

// Run reads the store, or follows the bulletins of the reader, until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	go d.join(ctx)
	go d.catchUp(ctx)
	go d.read(ctx, tableDeclared, d.readDeclared)
	go d.watchDeclared(ctx)
	go d.read(ctx, tableBackends, d.readBackends)
	go d.read(ctx, tableMembers, d.readMembers)
	repeat := time.NewTicker(repeatInterval)
	defer repeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case got := <-d.messages:
			d.apply(got)
		case heard := <-d.bulletins:
			d.applyBulletin(clock.Now(), heard)
		case now := <-repeat.C:
			d.noteAwake(clock.Now())
			d.rebroadcast(now)
		}
	}
}

// apply handles one message.
func (d *Directory) apply(got message) {
	if got.table != "" {
		d.noteReachability(got)
	}
	switch {
	case got.err != nil, got.unanswered:
		d.broadcastTrying(got.ended)
	case got.declared != nil:
		d.applyDeclared(got)
	case got.checked != nil:
		d.applyChecked(got)
	case got.listed != nil:
		d.applyListed(got)
	case got.changes != nil:
		d.applyChanges(got)
	case got.members != nil:
		d.applyMembers(got)
	case got.adopted != nil:
		d.adopt(got.adopted)
	case got.told != nil:
		d.applyHeldAnswer(got)
	case got.seen != nil:
		d.applySeen(got.seen)
	case got.question != nil:
		d.answerList(got.question)
	case got.standing != nil:
		d.applyStanding(*got.standing)
	}
	if got.applied != nil {
		close(got.applied)
	}
}

// confirm records that a call which began at a time showed the local data to be the newest.
func (d *Directory) confirm(began time.Time) {
	if began.After(*d.confirmed.Load()) {
		d.confirmed.Store(&began)
	}
}

// noteReachability logs when the store becomes unreachable or reachable again.
func (d *Directory) noteReachability(got message) {
	reachable := got.err == nil
	if before, known := d.reachable[got.table]; known && before == reachable {
		return
	}
	d.reachable[got.table] = reachable
	log := d.options.Log.WithField("table", got.table)
	if reachable {
		log.Info("The store answers.")
		return
	}
	log.WithError(got.err).Warn("The store does not answer.")
}

// advance raises a position; it never lowers it.
func advance(position *atomic.Uint64, to uint64) {
	position.Store(max(position.Load(), to))
}

// PromptStoreAddresses returns the addresses of the prompt cache stores.
func (d *Directory) PromptStoreAddresses() []string {
	state := d.state.Load()
	if state == nil {
		return nil
	}
	var addresses []string
	for _, store := range state.Table.PromptStores() {
		addresses = append(addresses, store.Address)
	}
	return addresses
}
