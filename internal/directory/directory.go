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

// Times and sizes of reading. They hold for the daemon that reads for all.
const (
	// defaultInterval is how often it is checked that what operators declared is still
	// the newest, unless the options say otherwise.
	defaultInterval = 500 * time.Millisecond
	// declaredInterval is how often what operators declared is read as a whole though
	// nothing changed: rows of a kind that nobody knows yet are found then.
	declaredInterval = 10 * time.Second
	// backendsInterval is how often the list is read as a whole though no change was
	// told; a large one is read less often.
	backendsInterval = 20 * time.Second
	bytesPerSecond   = 4 << 10
	maxReadInterval  = 60 * time.Second
	// backendWait and memberWait are how long calls for changes are held: they end at
	// the first change. That the store is reachable at all is seen by the checks.
	backendWait = 3 * time.Second
	memberWait  = 10 * time.Second
	// backendPause and memberPause lie between two calls, however fast changes come.
	// Back ends write all the time.
	backendPause = 250 * time.Millisecond
	memberPause  = 250 * time.Millisecond
	failurePause = 150 * time.Millisecond
	// failurePausePerDaemon spaces the calls of daemons that all fail, up to
	// longestFailurePause: in large fleets only a few of them try.
	failurePausePerDaemon = 25 * time.Millisecond
	maxFailurePause       = 500 * time.Millisecond
	// joinFailurePause is the same for daemons that start and know no others: hundreds may
	// start together.
	joinFailurePause = 600 * time.Millisecond
	// maxRetryPause bounds the pause after calls that were refused for now.
	maxRetryPause = 2 * time.Second
	callTimeout   = 1500 * time.Millisecond
	// limitedSpreadFactor times the time after which refused calls may come again is over how much more time they are
	// drawn, and over twice as much each time, mostLimitedDoublings times.
	limitedSpreadFactor = 2
	maxLimitedDoublings = 3
	// hedgeTime is after how long a check without an answer is made anew, and hedgedChecks
	// how many there are at a time. One takes a few milliseconds, or half a second and more
	// while the store is slow.
	hedgeTime    = 500 * time.Millisecond
	hedgedChecks = 3
	// listTimeout bounds a reading of the whole list of back ends, page by page.
	listTimeout = 15 * time.Second
	// defaultNamingAge is when versions count as named where the options don't say: no grace is as long.
	defaultNamingAge = 24 * time.Hour
	// clockSlack covers steady clocks that run at different rates.
	clockSlack = 100 * time.Millisecond
	// maxRememberedVersions is how many named versions of a model are remembered.
	maxRememberedVersions = 8
	// bulletinQueueLength bounds the bulletins that wait to be taken in.
	bulletinQueueLength = 64
	// repeatInterval and repeatedBulletins say how often changes of the list are told
	// again: single datagrams are lost now and then.
	repeatInterval  = 200 * time.Millisecond
	bulletinRepeats = 2
	// versionInterval is how often the version of the list is told though it has not changed, and changedVersionInterval
	// how often where it has.
	versionInterval        = time.Second
	changedVersionInterval = 400 * time.Millisecond
)

// Options are what a Directory works with.
type Options struct {
	Source Source
	Pool   *backendpool.Pool
	Log    logrus.FieldLogger
	// Interval is how often the daemon that reads for all checks that what operators
	// declared is still the newest; zero is a default.
	Interval time.Duration
	// NewsBound is how old what is known of operators' declarations may become at any daemon while the store answers: by then
	// another daemon has taken over from one that read for all. Zero is a default.
	NewsBound time.Duration
	// GuessedNaming is when versions count as named that this daemon finds at its start and of
	// which nobody tells. It must be so early that requests on older weights have ended by the time
	// that this daemon is held to the true naming, which may be long before. Zero is longAgo.
	GuessedNaming time.Time
	// Started is when this process started; zero is now.
	Started time.Time
	// SteadyTime is how long after a failed call the store counts as disturbed.
	SteadyTime time.Duration
	// QuietTime is how long nobody must have got through to the store before failed calls
	// count as a disturbance of it.
	QuietTime time.Duration
	// Self is this daemon's address, as other daemons know it.
	Self string
	// Broadcast tells the other daemons what this one has read; nil when there are none.
	// It must not block.
	Broadcast func(Bulletin)
	// Others returns the addresses of the other daemons; nil when there are none.
	Others func() []string
	// Topology is where the other daemons are; without its Others it is made of the above.
	Topology peerlink.Topology
	// IsOwnZone tells whether the daemon at an address is in this one's zone: what is asked there crosses no border; nil
	// is not known.
	IsOwnZone func(address string) bool
	// StoreTime returns how long this daemon's calls of the store take, zero while it isn't known;
	// nil is never known.
	StoreTime func() time.Duration
	// OnMembers is called with all daemons when there are new ones or some are described
	// anew; it may be nil and must not block.
	OnMembers func([]member.Descriptor)
	// Peers are asked for what this daemon lacks; nil when there are none.
	Peers Peers
	// Contacts finds daemons at the start; nil lets this daemon read the store at once.
	Contacts Contacts
	// Software makes the daemon know orders and standings of services' software versions.
	Software bool
	// Quarantine is given to daemons that start, and taken over from others; nil is none.
	Quarantine Quarantine
}

// Directory implements relay.Control.
type Directory struct {
	options   Options
	messages  chan message
	bulletins chan heardBulletin
	role      *readerRole
	// positions are the store's versions up to which changes of a table are known.
	positions map[table]*atomic.Uint64
	state     atomic.Pointer[relay.State]
	confirmed atomic.Pointer[time.Time]
	// steady is when the store had last been steady for SteadyTime since a failure.
	steady atomic.Pointer[time.Time]
	// failedAt is when the call of the store that failed last began.
	failedAt atomic.Pointer[time.Time]
	// awakeAt is when the goroutine of Run last found that the process runs, and awakeSince since
	// when it has without a pause.
	awakeAt, awakeSince atomic.Pointer[time.Time]
	listed              atomic.Bool
	// contacts are whom this daemon asks while it knows nothing.
	contacts contacts
	// missing says what this daemon lacks, and behind has a value when it changed.
	missing          atomic.Pointer[missingData]
	catchUpRequested chan struct{}
	// declaredChanged has a value when what operators declared is known to have changed.
	declaredChanged signal
	// waited is when another daemon last told that operators have declared nothing yet.
	waited atomic.Pointer[time.Time]
	// packer has the list packed for daemons that ask, and wantsWhole is set where the changes that others told don't lead
	// to their list, until one has told it whole.
	packer     packer
	wantsWhole atomic.Bool
	// published are the lists as other daemons may be given them.
	published atomic.Pointer[publishedLists]
	malformed *malformedRows

	// What follows belongs to the goroutine of Run.
	versions map[identity.ModelName][]relay.NamedVersion
	backends *backendList
	// rows are the versions of the operators' rows that were read last.
	rows map[string]uint64
	// started is set after the first reading: a version that is found later was named
	// since, also if it is a model's first.
	started bool
	// reported are what other daemons saw last, by model.
	reported     map[identity.ModelName][]SeenVersion
	freshness    map[table]*freshness
	clockSamples clockSamples
	held         heldCall
	reachable    map[table]bool
	changeLog    changeLog
	members      *memberList
	software     *softwareState
	// toldTryingAt is when this daemon last told that its calls fail.
	toldTryingAt time.Time
	// declaredTold is what was last told of what operators declared, to declaredToldTo daemons; nil is nothing.
	declaredTold   *DeclaredNews
	declaredToldTo int
	// repeats is how often the last changes of the list are still to be told again.
	repeats int
	// listMark is the version and digest of the list as of the last repeat.
	listMark BackendNews
	// versionTold is the version of the list that was last told without its changes, at versionToldAt.
	versionTold   uint64
	versionToldAt time.Time
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

// message is what a reader posts. One of the pointers is set unless the call
// failed or showed no change.
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
	// unanswered is set where a reading or a check has had no answer for a while, and goes on.
	unanswered bool
	err        error
}

// New makes a Directory that knows nothing until it runs.
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

// Complete tells whether a configuration and the back ends are known.
func (d *Directory) Complete() bool { return d.state.Load() != nil && d.listed.Load() }

// IsReader tells whether this daemon reads the store for all others.
func (d *Directory) IsReader() bool { return d.role.readsForAll() }

// Run reads the store, or hears what another daemon reads, until the context ends.
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

// apply takes one message in.
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
}

// confirm notes that a call which began at a time showed the belief to be the
// newest.
func (d *Directory) confirm(began time.Time) {
	if began.After(*d.confirmed.Load()) {
		d.confirmed.Store(&began)
	}
}

// noteReachability logs when the store is lost and regained.
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

// advance raises a position; it never falls.
func advance(position *atomic.Uint64, to uint64) {
	position.Store(max(position.Load(), to))
}

// PromptStoreAddresses are where the stores of prompt caches are.
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
