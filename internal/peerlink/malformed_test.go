package peerlink

import (
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
)

// TestMalformedMessagesAreSaidOnce hands on datagrams of other daemons that can't be read: nothing of them is taken,
// each is counted, and there is one line for each sender and kind, up to a number of them.
func TestMalformedMessagesAreSaidOnce(t *testing.T) {
	logger, hook := test.NewNullLogger()
	logger.SetLevel(logrus.InfoLevel)
	link := New("127.0.0.1:1", logger)
	counted := map[Kind]int{}
	link.ObserveMalformed(func(kind Kind) { counted[kind]++ })
	taken := 0
	HandleDecoded(link, KindLoads, func(string, struct{ Count int }) { taken++ })

	whole, fits := link.Encode(KindLoads, struct{ Count int }{7})
	assert.Assert(t, fits)
	link.Deliver("a:1", whole)
	assert.Equal(t, taken, 1)
	for range 3 {
		link.Deliver("a:1", []byte{byte(KindLoads), 0xc1})
		link.Deliver("b:1", []byte{byte(KindLoads), 0x91, 0xa1, 'x'})
		link.Deliver("a:1", []byte{byte(kindEnd) + 5, 1})
	}
	assert.Equal(t, taken, 1)
	assert.Equal(t, counted[KindLoads], 6)
	assert.Equal(t, counted[kindEnd+5], 3)
	assert.Equal(t, len(hook.AllEntries()), 3)
	for number := range 2 * maximumComplaints {
		link.Deliver(fmt.Sprint("c:", number), []byte{byte(KindLoads), 0xc1})
	}
	assert.Equal(t, len(hook.AllEntries()), maximumComplaints)
}
