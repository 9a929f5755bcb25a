package lease

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/port"
)

// FuzzRecord has a daemon that wants the lease read a row that another writer left, which doesn't change. Whatever it holds, the daemon
// takes the lease in the end, under a higher token, and all others can read its record.
func FuzzRecord(f *testing.F) {
	odd := []string{"1e300", "4611686018427387904", "9223372036854775807", "18446744073709551615", "9223372036854775808", "-1", "0", "null", `"x"`, strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000), strings.Repeat("[", 30_000)}
	for _, value := range odd {
		for _, row := range []string{
			`{"holder":"x","incarnation":1,"token":VALUE,"duration":1000000000}`, `{"holder":"x","incarnation":1,"token":3,"duration":VALUE}`, `{"holder":"one","incarnation":2,"token":VALUE,"duration":VALUE}`,
			`{"holder":"x","incarnation":VALUE,"token":3,"duration":1000000000,"acting":true,"released":true,"rest_left":VALUE}`, `{"holder":VALUE,"token":3,"duration":1000000000,"acting":true}`, `VALUE`,
		} {
			f.Add([]byte(strings.ReplaceAll(row, "VALUE", value)))
		}
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		now := time.Unix(1_000_000, 0)
		machine := New(Settings{Key: testKey, Holder: "one", Incarnation: 2, Duration: testDuration, MaximumDrift: testDrift, HandoverDelay: 3 * time.Second})
		for range 2 * maxDurationRatio * pollFraction {
			switch action := machine.Tick(now).(type) {
			case Read:
				_ = machine.ReadDone(now, []port.Row{{Key: testKey, Value: value, Version: 7}}, nil)
			case Commit:
				record, err := machine.recordOf(port.Row{Key: testKey, Value: action.Transaction.Writes[0].Value, Version: 8})
				assert.NilError(t, err, "the next record")
				assert.Assert(t, record.Token > machine.record.Token, "token %d after %d", record.Token, machine.record.Token)
				return
			}
			now = now.Add(testDuration / pollFraction)
		}
		t.Errorf("nobody takes the lease")
	})
}
