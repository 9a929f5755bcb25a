package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/presence"
)

// storeReach is how a daemon reaches the store.
type storeReach int32

const (
	storeAnswers storeReach = iota
	// storeRefuses makes calls fail at once.
	storeRefuses
	// storeSilent leaves calls without an answer.
	storeSilent
)

const (
	// storeDelay is the time that a call takes each way.
	storeDelay = 2 * time.Millisecond
	// newsInterval is how often news spreads, and newsLag the longest time until a daemon in reach has it.
	newsInterval = 20 * time.Millisecond
	newsLag      = 150 * time.Millisecond
	// nextStream is the difference between the numbers of streams that begin in one action.
	nextStream = 1000
)

// daemonStore is the store as one daemon reaches it. It implements port.TableService.
type daemonStore struct {
	*apartFleet
	daemon *apartDaemon
	reach  atomic.Int32
}

var _ port.TableService = (*daemonStore)(nil)

func (s *daemonStore) answers() bool {
	return storeReach(s.reach.Load()) == storeAnswers && !s.silentToAll.Load()
}

// call makes a call. A daemon that stands still neither sends it nor reads its answer.
func (s *daemonStore) call(ctx context.Context, apply func()) error {
	s.daemon.awaitAwake()
	time.Sleep(storeDelay)
	if storeReach(s.reach.Load()) == storeRefuses {
		return &port.UnavailableError{Service: "table", Cause: errors.New("refused")}
	}
	if !s.answers() {
		<-ctx.Done()
		return ctx.Err()
	}
	apply()
	time.Sleep(storeDelay)
	s.daemon.awaitAwake()
	return ctx.Err()
}

// Read implements port.TableService.
func (s *daemonStore) Read(ctx context.Context, keys ...string) (rows []port.Row, err error) {
	failed := s.call(ctx, func() { rows, err = s.service.Read(ctx, keys...) })
	return rows, errors.Join(failed, err)
}

// Scan implements port.TableService.
func (s *daemonStore) Scan(ctx context.Context, prefix, after string, limit int) (rows []port.Row, err error) {
	failed := s.call(ctx, func() { rows, err = s.service.Scan(ctx, prefix, after, limit) })
	return rows, errors.Join(failed, err)
}

// Commit implements port.TableService.
func (s *daemonStore) Commit(ctx context.Context, transaction port.Transaction) (rows []port.Row, err error) {
	if failed := s.call(ctx, func() { rows, err = s.service.Commit(ctx, transaction) }); failed != nil {
		return nil, failed
	}
	return rows, err
}

// apartDaemon is a daemon that reaches the others and the store in its own way.
type apartDaemon struct {
	*testDaemon
	name   string
	store  *daemonStore
	asleep bool
	// nextNews is when it has the news that is in its reach. It is owned by the goroutine that spreads news.
	nextNews time.Time
	complete atomic.Bool
}

// awaitAwake waits until the daemon doesn't stand still.
func (d *apartDaemon) awaitAwake() {
	awake := make(chan struct{})
	d.WhenAwake(func() { close(awake) })
	<-awake
}

// knows reports whether the daemon knows that a version was listed lately.
func (d *apartDaemon) knows(version identity.SoftwareVersion) bool {
	versions, _ := d.registry.RecentVersions()
	return slices.Contains(versions[testService], version)
}

// apartFleet is a fleet whose daemons know of changes of the list only if they reach the store, or a daemon that knows of them.
type apartFleet struct {
	*fleet
	archives    bool
	silentToAll atomic.Bool
	// members are the daemons of the fleet, guarded by its mutex.
	members []*apartDaemon
	// newsLuck is owned by the goroutine that spreads news.
	newsLuck *rand.Rand
}

func newApartFleet(seed uint64, count int, archives bool) *apartFleet {
	made := &apartFleet{fleet: newFleet(seed, 0, "v1"), archives: archives, newsLuck: rand.New(rand.NewPCG(seed, 3))}
	go made.hearEachOther()
	go pause.Every(made.running, newsInterval, func(time.Time) { made.spreadNews() })
	for range count {
		made.join()
	}
	return made
}

// join adds a daemon that all know at once.
func (f *apartFleet) join() *apartDaemon {
	added := f.newDaemon(fmt.Sprint("d", f.added))
	f.run(added)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.daemons, f.members = append(f.daemons, added.testDaemon), append(f.members, added)
	f.added++
	return added
}

// newDaemon returns a daemon of a name, at the address that all of this name have.
func (f *apartFleet) newDaemon(name string) *apartDaemon {
	node := f.network.Add(name + ":1")
	added := &apartDaemon{name: name, testDaemon: &testDaemon{addedAt: time.Now(), Node: node, heard: presence.New(), change: -1}}
	added.store = &daemonStore{apartFleet: f, daemon: added}
	added.Observe(func(from string) { added.heard.Heard(from, time.Now()) })
	return added
}

// run runs what a daemon runs.
func (f *apartFleet) run(daemon *apartDaemon) {
	var verifier *Verifier
	var archive *Archive
	log := logging.Discard()
	daemon.registry = New(Options{
		Link: daemon, Presence: daemon.heard, Now: time.Now, Log: log,
		Topology: peerlink.Topology{
			Others: func() []string { return f.others(daemon.testDaemon) },
			Zone:   func(address string) identity.Zone { return identity.Zone(rune('a' + f.indexOf(address)%3)) },
		},
		Verify:  func(ctx context.Context, since time.Time) error { return verifier.Verify(ctx, since) },
		Archive: func() *Archive { return archive },
	})
	verifier = NewVerifier(VerifierOptions{
		Table: daemon.store, Registry: daemon.registry, Era: f.era.Load, Daemons: f.size, Log: log,
		Refresh: func(ctx context.Context) error { return f.refresh(ctx, daemon) },
	})
	recorder := NewRecorder(RecorderOptions{
		Table: daemon.store, Registry: daemon.registry, Log: log, Era: f.era.Load, Daemons: f.size,
		RemovedLately: func(ctx context.Context) (bool, error) { return f.removed.Load(), daemon.store.call(ctx, func() {}) },
		Directory:     apartDirectory{fleet: f, daemon: daemon},
		Refresh:       func(ctx context.Context) error { return f.refresh(ctx, daemon) },
	})
	var running context.Context
	running, daemon.kill = context.WithCancel(f.running)
	if f.archives {
		archive = NewArchive(ArchiveOptions{
			Table: daemon.store, Self: daemon.name, Registry: daemon.registry, Ready: daemon.complete.Load, Daemons: f.size, Log: log,
		})
		go func() { _ = archive.Run(running) }()
	}
	go func() { _ = recorder.Run(running) }()
	go daemon.registry.reverify(running)
	go pause.Every(running, contactInterval, func(time.Time) {
		if daemon.Working() {
			daemon.registry.checkContact()
		}
	})
}

// apartDirectory implements Directory.
type apartDirectory struct {
	fleet  *apartFleet
	daemon *apartDaemon
}

func (d apartDirectory) Complete() bool { return d.daemon.complete.Load() }

// IsReader implements Directory: the first daemon on each side of the network that reaches the store reads it.
func (d apartDirectory) IsReader() bool {
	d.fleet.mutex.Lock()
	defer d.fleet.mutex.Unlock()
	for _, each := range d.fleet.members {
		if each.Working() && each.store.answers() && each.Reaches(d.daemon.Node) {
			return each == d.daemon
		}
	}
	return false
}

// refresh makes a daemon list the present versions if the store answers.
func (f *apartFleet) refresh(ctx context.Context, daemon *apartDaemon) error {
	if !daemon.complete.Load() {
		return errors.New("the list is not known")
	}
	var listed []identity.SoftwareVersion
	change := 0
	err := daemon.store.call(ctx, func() { listed, change = f.present() })
	if err == nil {
		daemon.list(listed, change)
	}
	return err
}

func (f *apartFleet) present() ([]identity.SoftwareVersion, int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.listed, f.changes
}

// spreadNews makes daemons list what the store, or another daemon in their reach, lists.
func (f *apartFleet) spreadNews() {
	now := time.Now()
	f.mutex.Lock()
	members := slices.Clone(f.members)
	f.mutex.Unlock()
	for _, each := range members {
		if !each.Working() || now.Before(each.nextNews) {
			continue
		}
		each.nextNews = now.Add(time.Duration(f.newsLuck.Int64N(int64(newsLag))))
		if versions, change := f.newest(members, each); change >= 0 {
			each.list(versions, change)
			each.complete.Store(true)
		}
	}
}

// newest returns the newest list in reach of a daemon, and -1 if there is none.
func (f *apartFleet) newest(members []*apartDaemon, daemon *apartDaemon) (versions []identity.SoftwareVersion, change int) {
	change = -1
	for _, each := range members {
		if each != daemon && (!each.Working() || !each.Reaches(daemon.Node)) {
			continue
		}
		if each.store.answers() {
			return f.present()
		}
		each.mutex.Lock()
		if each.change > change {
			versions, change = each.view, each.change
		}
		each.mutex.Unlock()
	}
	return versions, change
}

// relistApart changes the list in the store.
func (f *apartFleet) relistApart(versions []identity.SoftwareVersion) {
	f.noteRemoved(versions)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listed, f.relistedAt = versions, time.Now()
	f.changes++
}

// end kills a daemon. It stays a member until it is replaced.
func (f *apartFleet) end(daemon *apartDaemon) {
	daemon.down = true
	daemon.SetDown(true)
	daemon.kill()
	f.wake(daemon)
}

func (f *apartFleet) wake(daemon *apartDaemon) {
	if daemon.asleep {
		daemon.asleep = false
		daemon.Thaw()
	}
}

// replace starts a daemon under the name of one that is down.
func (f *apartFleet) replace(ended *apartDaemon) {
	added := f.newDaemon(ended.name)
	added.side = ended.side
	added.SetSide(added.side)
	added.store.reach.Store(ended.store.reach.Load())
	f.run(added)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	at := slices.Index(f.members, ended)
	f.members[at], f.daemons[at] = added, added.testDaemon
}

// finish ends all daemons.
func (f *apartFleet) finish() {
	f.stop()
	for _, each := range f.members {
		f.wake(each)
	}
	time.Sleep(5 * time.Second)
}
