package streamorigin

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/streamorigin"
	"github.com/lotusward/lotusward/internal/logging"
	"github.com/lotusward/lotusward/internal/peerlink"
	"github.com/lotusward/lotusward/internal/peerlink/peerlinktest"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/port/porttest"
	"github.com/lotusward/lotusward/internal/presence"
)

// archivingDaemon is a daemon that archives what it begins, without others.
type archivingDaemon struct {
	registry *Registry
	archive  *Archive
	kill     context.CancelFunc
}

func startArchiving(service port.TableService, name string) *archivingDaemon {
	made := &archivingDaemon{}
	node := peerlinktest.NewNetwork(1).Add("10.0.0.1:1")
	topology := peerlink.Topology{Others: func() []string { return nil }}
	made.registry = New(Options{Link: node, Topology: topology, Presence: presence.New(), Log: logging.Discard(), Archive: func() *Archive { return made.archive }})
	made.registry.NotifyBackendsListed([]backendpool.Backend{backendOf("v1"), backendOf("v2")}, nil)
	made.archive = NewArchive(ArchiveOptions{
		Table: service, Self: name, Registry: made.registry, Ready: func() bool { return true }, Daemons: func() int { return 1 }, Log: logging.Discard(),
	})
	var running context.Context
	running, made.kill = context.WithCancel(context.Background())
	go func() { _ = made.archive.Run(running) }()
	return made
}

// TestArchivedStreamsOutliveAllDaemons draws daemons that begin streams, end and start again under their names, and a store that refuses
// calls. Each stream that began early enough before the end is known afterwards, and at the version that began it.
func TestArchivedStreamsOutliveAllDaemons(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 5, 60).Draw(drawn, "steps")
		counts := rapid.SliceOfN(rapid.IntRange(1, 150), len(steps), len(steps)).Draw(drawn, "streams")
		failed := ""
		synctest.Test(t, func(*testing.T) { failed = playArchive(steps, counts) })
		if failed != "" {
			drawn.Fatal(failed)
		}
	})
}

func playArchive(steps, counts []int) string {
	service := porttest.NewService()
	daemons := []*archivingDaemon{startArchiving(service, "d0"), startArchiving(service, "d1")}
	defer func() {
		for _, each := range daemons {
			each.kill()
		}
		time.Sleep(2 * archiveTimeout)
	}()
	time.Sleep(time.Second)
	versions := []identity.SoftwareVersion{"v1", "v2"}
	began, next := map[int]identity.SoftwareVersion{}, 0
	for index, step := range steps {
		at := step % len(daemons)
		switch {
		case step < 70:
			for range counts[index] {
				began[next] = versions[next%2]
				daemons[at].registry.Begun(stream(next), backendOf(began[next]), true)
				next++
			}
			time.Sleep(time.Second)
		case step < 80:
			service.Refuse(true)
			time.Sleep(time.Second)
			service.Refuse(false)
			time.Sleep(2 * archiveTimeout)
		default:
			for each := range daemons {
				daemons[each].kill()
				daemons[each] = startArchiving(service, fmt.Sprint("d", each))
			}
			time.Sleep(time.Second)
			for number := max(next-archiveRows*streamsPerRow/2, 0); number < next; number++ {
				found := daemons[at].registry.Find(context.Background(), stream(number))
				if !found.Known || found.Version != began[number] {
					return fmt.Sprintf("stream %d of %s: %+v", number, began[number], found)
				}
			}
		}
	}
	return ""
}

// TestOldBeginningsAreRemovedFromTheStore guards against rows that stay once no stream in them can be continued.
func TestOldBeginningsAreRemovedFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := porttest.NewService()
		daemon := startArchiving(service, "d0")
		time.Sleep(time.Second)
		for number := range 3 * streamsPerRow {
			daemon.registry.Begun(stream(number), backendOf("v1"), true)
		}
		time.Sleep(time.Second)
		assert.Equal(t, len(service.Table.Scan(archivePrefix, "", 100)), 3)
		time.Sleep(streamorigin.Retention + 2*oldRowsInterval)
		assert.Equal(t, len(service.Table.Scan(archivePrefix, "", 100)), 0)
		daemon.kill()
		time.Sleep(archiveTimeout)
	})
}

// TestOthersRowsOfBeginningsAreLeftOut lets another writer leave rows that can't be read among those of daemons.
func TestOthersRowsOfBeginningsAreLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := porttest.NewService()
		var writes []port.Write
		for number, value := range [][]byte{nil, {}, []byte("?"), {0xc0}, {0x90}, {0x94, 1, 1, 0x91, 0xa2, 'v', '9', 0x91, 0x93, 1, 7, 0}, {0x94, 9, 1, 0x90, 0x90}, {0xdd, 0xff, 0xff, 0xff, 0xff}} {
			writes = append(writes, port.Write{Key: fmt.Sprintf("%sd9/%02d", archivePrefix, number), Value: value})
		}
		_, err := service.Commit(context.Background(), port.Transaction{Writes: writes})
		assert.NilError(t, err)
		daemon := startArchiving(service, "d0")
		time.Sleep(time.Second)
		daemon.registry.Begun(stream(1), backendOf("v2"), true)
		time.Sleep(time.Second)
		daemon.kill()
		again := startArchiving(service, "d0")
		time.Sleep(time.Second)
		found := again.registry.Find(context.Background(), stream(1))
		assert.Assert(t, found.Known && found.Version == "v2", "%+v", found)
		again.kill()
		time.Sleep(archiveTimeout)
	})
}
