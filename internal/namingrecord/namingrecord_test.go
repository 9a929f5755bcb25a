package namingrecord

import (
	"bytes"
	"context"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/directory"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/port/porttest"
)

// fakeDirectory is a Directory that records the versions added to it.
type fakeDirectory struct {
	reader bool
	seen   []directory.SeenVersion
	added  []directory.SeenVersion
}

func (b *fakeDirectory) IsReader() bool                        { return b.reader }
func (b *fakeDirectory) SeenVersions() []directory.SeenVersion { return b.seen }
func (b *fakeDirectory) AddSeenVersions(_ context.Context, told []directory.SeenVersion) {
	b.added = told
}

func seen(version uint64, at time.Duration) directory.SeenVersion {
	return directory.SeenVersion{Model: "m", Version: version, StoreClock: at}
}

func newKeeper(known *fakeDirectory, table port.TableService) *Keeper {
	return New(Options{Table: table, Directory: known, Log: logging.Discard()})
}

// syncRepeatedly calls sync three times: to read the row, to write it, and once more.
func syncRepeatedly(t *testing.T, keeper *Keeper) {
	t.Helper()
	for range 3 {
		assert.NilError(t, keeper.sync(context.Background()))
	}
}

// readRow returns the versions stored in the row.
func readRow(t *testing.T, service *porttest.Service) []directory.SeenVersion {
	t.Helper()
	rows := service.Table.Read([]string{RowKey})
	assert.Equal(t, len(rows), 1)
	var held []directory.SeenVersion
	assert.NilError(t, msgpack.Unmarshal(rows[0].Value, &held))
	return held
}

// TestNewReaderLoadsStoredRow checks that a reader which only guesses a time learns the one that an earlier
// reader stored.
func TestNewReaderLoadsStoredRow(t *testing.T) {
	service := porttest.NewService()
	syncRepeatedly(t, newKeeper(&fakeDirectory{reader: true, seen: []directory.SeenVersion{seen(1, 0), seen(2, 7*time.Second)}}, service))
	starter := &fakeDirectory{reader: true, seen: []directory.SeenVersion{seen(2, 0)}}
	syncRepeatedly(t, newKeeper(starter, service))
	want := []directory.SeenVersion{seen(1, 0), seen(2, 7*time.Second)}
	assert.DeepEqual(t, starter.added, want)
	assert.DeepEqual(t, readRow(t, service), want)
}

// TestOnlyReaderWritesRow checks that a daemon which is not the reader leaves the row unwritten.
func TestOnlyReaderWritesRow(t *testing.T) {
	service := porttest.NewService()
	syncRepeatedly(t, newKeeper(&fakeDirectory{seen: []directory.SeenVersion{seen(2, time.Second)}}, service))
	assert.Equal(t, len(service.Table.Read([]string{RowKey})), 0)
}

// TestMalformedRowIsOverwritten checks that a malformed row adds no versions and is replaced.
func TestMalformedRowIsOverwritten(t *testing.T) {
	service := porttest.NewService()
	_, written := service.Table.Commit(port.Transaction{Writes: []port.Write{{Key: RowKey, Value: []byte("nonsense")}}})
	assert.Assert(t, written)
	known := &fakeDirectory{reader: true, seen: []directory.SeenVersion{seen(2, time.Second)}}
	syncRepeatedly(t, newKeeper(known, service))
	assert.Assert(t, known.added == nil)
	assert.DeepEqual(t, readRow(t, service), known.seen)
}

// FuzzRow checks that arbitrary row contents cause no panic and that the stored list is sorted afterwards.
func FuzzRow(f *testing.F) {
	for _, held := range [][]directory.SeenVersion{
		nil, {seen(2, time.Second), seen(1, 0), seen(2, 0)}, {seen(9, -time.Hour)}, {seen(math.MaxUint64, math.MaxInt64), seen(1<<62, math.MinInt64), seen(0, -1)},
		{{Model: identity.ModelName(strings.Repeat("m", 60_000)), Version: 1, StoreClock: 1}},
	} {
		value, err := msgpack.Marshal(held)
		assert.NilError(f, err)
		f.Add(value)
	}
	for _, levels := range []int{9_000, 65_535, 200_000} {
		f.Add(append(bytes.Repeat([]byte{0x91}, levels), 0xc0))
		f.Add(append(bytes.Repeat([]byte("\x81\xa5Model"), levels/7), 0xc0))
	}
	for _, number := range []string{"\xcf\xff\xff\xff\xff\xff\xff\xff\xff", "\xd3\x80\x00\x00\x00\x00\x00\x00\x00", "\xcb\x7e\x37\xe4\x3c\x88\x00\x75\x9c", "\xff"} {
		f.Add([]byte("\x91\x83\xa5Model\xa1m\xa7Version" + number + "\xaaStoreClock" + number))
	}
	f.Add([]byte("nonsense"))
	f.Fuzz(func(t *testing.T, value []byte) {
		service := porttest.NewService()
		_, written := service.Table.Commit(port.Transaction{Writes: []port.Write{{Key: RowKey, Value: value}}})
		assert.Assert(t, written)
		known := &fakeDirectory{reader: true, seen: []directory.SeenVersion{seen(3, time.Second)}}
		keeper := newKeeper(known, service)
		syncRepeatedly(t, keeper)
		assert.Assert(t, slices.IsSortedFunc(keeper.stored, compareVersions))
		assert.Assert(t, slices.ContainsFunc(keeper.stored, func(each directory.SeenVersion) bool { return each.Model == "m" }))
	})
}

// TestConcurrentReadersMergeRow checks that no version is lost if another daemon writes the row between two
// writes of the first.
func TestConcurrentReadersMergeRow(t *testing.T) {
	service := porttest.NewService()
	first := &fakeDirectory{reader: true, seen: []directory.SeenVersion{seen(1, time.Second)}}
	keeper := newKeeper(first, service)
	syncRepeatedly(t, keeper)
	syncRepeatedly(t, newKeeper(&fakeDirectory{reader: true, seen: []directory.SeenVersion{seen(2, 2*time.Second)}}, service))
	first.seen = append(first.seen, seen(3, 3*time.Second))
	syncRepeatedly(t, keeper)
	assert.DeepEqual(t, readRow(t, service), []directory.SeenVersion{seen(1, time.Second), seen(2, 2*time.Second), seen(3, 3*time.Second)})
}

// TestLostCallsAreRetried checks that the row is complete in the end if every second answer is lost.
func TestLostCallsAreRetried(t *testing.T) {
	service := porttest.NewService()
	service.LoseEvery(2)
	known := &fakeDirectory{reader: true, seen: []directory.SeenVersion{seen(1, time.Second)}}
	keeper := newKeeper(known, service)
	for range 8 {
		_ = keeper.sync(context.Background())
	}
	assert.DeepEqual(t, readRow(t, service), known.seen)
}

// TestMergePrefersStoredTimes compares merge with a map: a stored time is never replaced, a guess is replaced
// by any time, and the newest versions of each model remain.
func TestMergePrefersStoredTimes(t *testing.T) {
	type version struct {
		model  identity.ModelName
		number uint64
	}
	list := rapid.Custom(func(t *rapid.T) []directory.SeenVersion {
		drawn := map[version]directory.SeenVersion{}
		for range rapid.IntRange(0, 12).Draw(t, "count") {
			each := directory.SeenVersion{
				Model:      identity.ModelName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")),
				Version:    rapid.Uint64Range(1, 14).Draw(t, "version"),
				StoreClock: time.Duration(rapid.IntRange(0, 3).Draw(t, "clock")),
			}
			drawn[version{each.Model, each.Version}] = each
		}
		var sorted []directory.SeenVersion
		for _, each := range drawn {
			sorted = append(sorted, each)
		}
		slices.SortFunc(sorted, compareVersions)
		return keepNewest(sorted)
	})
	rapid.Check(t, func(t *rapid.T) {
		held, known := list.Draw(t, "held"), list.Draw(t, "seen")
		before := slices.Clone(held)
		want := map[version]time.Duration{}
		for _, each := range slices.Concat(held, known) {
			at := version{each.Model, each.Version}
			if want[at] == 0 {
				want[at] = each.StoreClock
			}
		}
		merged := merge(held, known)
		assert.DeepEqual(t, held, before)
		perModel := map[identity.ModelName]int{}
		for _, each := range merged {
			at := version{each.Model, each.Version}
			assert.Equal(t, each.StoreClock, want[at])
			delete(want, at)
			perModel[each.Model]++
		}
		for left := range want { // dropped versions are older than all kept ones
			assert.Equal(t, perModel[left.model], maxVersionsPerModel)
			for _, each := range merged {
				assert.Assert(t, each.Model != left.model || each.Version > left.number)
			}
		}
	})
}
