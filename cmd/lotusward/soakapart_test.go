package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lotusward/lotusward/platform/standin"
)

// apartStream is the stream of the seed that draws what is added here, so that the other faults of a seed stay as they are.
const apartStream = 7 << 32

const (
	// apartLongest bounds how long daemons are apart, and apartShortest from below.
	apartShortest = 200 * time.Millisecond
	apartLongest  = 3 * time.Second
	// unheardEnded is how many back ends more a request may end at a daemon that hears nothing of the others.
	unheardEnded = 2
	// apartResumers is how many callers continue streams: many wait for daemons that are apart.
	apartResumers = 18
)

// apartSoak adds daemons that are apart to the soak of versions, back ends of new versions that join meanwhile, and odd rows.
type apartSoak struct {
	*versionSoak
	luck *rand.Rand
	// moving is set if all back ends are of one version until a daemon is apart, and of the newest one from then on. Otherwise several
	// versions serve side by side from the start.
	moving bool
	// newest numbers the newest version.
	newest int
	// apart holds until when daemons are apart.
	apart map[*process]time.Time
	// odd counts the odd rows.
	odd int
}

// separation is from what daemons are apart, and for how long.
type separation struct {
	muted, cut, asleep bool
	how                standin.Cut
	lasts              time.Duration
	// awakeAfter is when one that is asleep wakes.
	awakeAfter time.Duration
}

func (s separation) String() string {
	return fmt.Sprintf("for %s: no datagrams %t, no store %t (%s), asleep %t until %s", s.lasts, s.muted, s.cut, s.how, s.asleep, s.awakeAfter)
}

// TestSoakApart plays seeds in which daemons are apart from the others, from the store, or stand still. By hand:
//
//	go test ./cmd/lotusward -run TestSoakApart -soakversions.seeds 50 -soakversions.first 1000 -timeout 30m
func TestSoakApart(t *testing.T) {
	for seed := *soakVersionsFirst; seed < *soakVersionsFirst+uint64(*soakVersionsSeeds); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { playApartSoak(t, seed) })
	}
}

func playApartSoak(t *testing.T, seed uint64) {
	added := &apartSoak{versionSoak: newVersionSoak(seed, ""), luck: rand.New(rand.NewPCG(seed, apartStream)), newest: 2, apart: map[*process]time.Time{}}
	added.resumers = apartResumers
	added.moving = added.luck.IntN(2) == 0
	if added.moving {
		added.newest = 1
	}
	plain := plainSoak()
	playSoakWith(t, seed, soakExtra{
		bounds:  versionSoakBounds(t, plain.bounds),
		program: added.program(),
		begin:   func(s *soak) { added.begin(s, plain) },
		step:    added.step, end: added.end, check: added.check,
	})
}

func (a *apartSoak) begin(s *soak, plain soakExtra) {
	s.muted = true
	a.versionSoak.begin(s, plain)
	s.isWhole = isWholeMarked
	if a.moving {
		s.addEngine = a.addNewest
	}
}

// addNewest starts a back end of the newest version.
func (a *apartSoak) addNewest(id string) {
	version := fmt.Sprint("v", a.newest)
	runner := standin.NewRunner(a.store, id, "llm", testModel, soakEvents, 2*time.Millisecond, standin.WithSoftware(version), standin.WithMarkedEvents())
	a.keep(runner).EndOf(fatalBody)
}

// isWholeMarked reports whether a body has all events of one version, whichever it is.
func isWholeMarked(body string) bool {
	_, version, _ := strings.Cut(body, "data: ")
	version, _, _ = strings.Cut(version, "\n")
	var whole strings.Builder
	for id := 1; id <= soakEvents; id++ {
		fmt.Fprintf(&whole, "id: %d\ndata: %s\n\n", id, version)
	}
	return version != "" && body == whole.String()
}

func (a *apartSoak) step() {
	a.startResumers()
	if !a.moving {
		a.restartOne()
	}
	if a.luck.IntN(3) == 0 {
		a.separate()
	}
	if a.luck.IntN(4) == 0 {
		a.addOdd()
	}
}

// separate has one daemon be apart, or two at once.
func (a *apartSoak) separate() {
	drawn := a.drawSeparation()
	joining := a.luck.IntN(4)
	count := min(1+a.luck.IntN(2), len(a.daemons))
	for _, index := range a.luck.Perm(len(a.daemons))[:count] {
		daemon := a.daemons[index]
		if until, found := a.apart[daemon]; found && time.Now().Before(until) {
			continue
		}
		a.noteFault(fmt.Sprintf("%s is apart %s", daemon.name, drawn))
		a.begins(daemon, drawn)
	}
	if a.moving && a.newest == 1 && !drawn.isolates() {
		return // the second version is to join while a daemon can't know
	}
	if joining > 0 {
		a.join(joining)
	}
}

// isolates reports whether daemons that are apart learn nothing meanwhile.
func (s separation) isolates() bool { return s.asleep || s.muted && s.cut }

func (a *apartSoak) drawSeparation() separation {
	drawn := []separation{
		{muted: true}, {cut: true}, {muted: true, cut: true}, {asleep: true}, {muted: true, cut: true, asleep: true},
	}[a.luck.IntN(5)]
	drawn.how = []standin.Cut{standin.CutSilent, standin.CutReset, standin.CutKept}[a.luck.IntN(3)]
	drawn.lasts = apartShortest + time.Duration(a.luck.Int64N(int64(apartLongest-apartShortest)))
	drawn.awakeAfter = time.Duration(a.luck.Int64N(int64(drawn.lasts)))
	return drawn
}

// begins has a daemon be apart until its time is over.
func (a *apartSoak) begins(daemon *process, drawn separation) {
	now := time.Now()
	a.apart[daemon] = now.Add(drawn.lasts + 100*time.Millisecond)
	a.freezes = append(a.freezes, now, now.Add(drawn.lasts))
	a.mutex.Lock()
	a.faults = append(a.faults, now.Add(drawn.lasts))
	a.mutex.Unlock()
	if drawn.muted {
		a.endedBound += unheardEnded
		daemon.mute(a.t)
	}
	if drawn.cut {
		daemon.gateway.CutOffFrom(a.store.Address(), drawn.how)
	}
	if drawn.asleep {
		a.frozen[daemon] = true
		_ = daemon.command.Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(drawn.awakeAfter, func() { _ = daemon.command.Process.Signal(syscall.SIGCONT) })
	}
	store := a.store.Address()
	time.AfterFunc(drawn.lasts, func() { daemon.rejoin(store) })
}

// rejoin ends what separates a daemon from the others and from the store.
func (p *process) rejoin(store string) {
	p.gateway.HealFrom(store)
	_ = os.Remove(p.muteFile) // there is none unless it is muted
}

// join starts back ends of a new version.
func (a *apartSoak) join(count int) {
	a.newest++
	a.noteFault(fmt.Sprintf("%d back ends of v%d join", count, a.newest))
	for range count {
		a.runner++
		a.addNewest(fmt.Sprint("b", a.runner))
	}
}

// oddRows are entries that no back end writes, with a number in place of each verb.
var oddRows = []string{
	``, `null`, `[]`, `{`, `"odd%d"`, `{"service":"llm"}`,
	`{"service":"llm","address":"127.0.0.1:99999","zone":"a","slots":8,"state":"ready","version":"odd%d"}`,
	`{"service":"llm","address":"127.0.0.1:-1","zone":"a","slots":8,"state":"ready","version":"odd%d"}`,
	`{"service":"llm","address":"127.0.0.1:0","zone":"a","slots":8,"state":"ready","version":"odd%d"}`,
	`{"service":"llm","address":"127.0.0.1","zone":"a","slots":8,"state":"ready","version":"odd%d"}`,
	`{"service":"llm","address":"127.0.0.1:123456789012345678901","zone":"a","slots":8,"state":"ready","version":"odd%d"}`,
	`{"service":"llm","address":"127.0.0.1:80\n80","zone":"a","slots":8,"state":"ready","version":"odd%d"}`,
	`{"service":"llm","address":"127.0.0.1:99999","slots":1e300,"born":18446744073709551615,"sequence":4611686018427387904,"coldRemainingMs":1e308,"version":"odd%d"}`,
	`{"service":{"name":"llm"},"address":["127.0.0.1:80"],"models":{"name":"m"},"version":%d}`,
	`{"service":"llm","address":"127.0.0.1:99999","version":"` + strings.Repeat("v", 70_000) + `"}`,
	`{"service":"llm","models":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
	strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
}

// addOdd writes one of the odd rows among those of the back ends, and removes it a moment later.
func (a *apartSoak) addOdd() {
	a.odd++
	id := fmt.Sprint("odd", a.odd)
	kind := a.luck.IntN(len(oddRows))
	text := strings.Replace(oddRows[kind], "%d", fmt.Sprint(a.odd), 1)
	a.noteFault(fmt.Sprintf("%s is listed, an odd row of kind %d", id, kind))
	store := a.store
	store.PutRaw("servers", id, []byte(text))
	time.AfterFunc(time.Duration(50+a.luck.IntN(2000))*time.Millisecond, func() { store.Remove("servers", id) })
}

// end has all daemons rejoin the others, and waits for the callers.
func (a *apartSoak) end() {
	for _, daemon := range a.daemons {
		daemon.rejoin(a.store.Address())
	}
	a.versionSoak.end()
}
