package platform

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// weightStore answers fetches of weights after the time that they take. The body
// is only the model and version, since stand-in engines need no weights.
type weightStore struct {
	faults  *faultState
	fetches atomic.Int64
}

// serve answers PathWeights.
func (s *weightStore) serve(request *http.Request, _ []byte) answer {
	name := strings.TrimPrefix(request.URL.Path, platformwire.PathWeights)
	if strings.Count(name, "/") != 1 {
		return answer{status: http.StatusNotFound, body: []byte("use MODEL/VERSION")}
	}
	running := int(s.fetches.Add(1))
	defer s.fetches.Add(-1)
	settings, _ := s.faults.load()
	sleep(request.Context(), fetchTime(settings, running))
	return answer{status: http.StatusOK, body: []byte(name)}
}

// fetchTime is how long a fetch takes when so many run with it.
func fetchTime(settings Faults, running int) time.Duration {
	base := settings.WeightMilliseconds
	if settings.WeightConcurrency > 0 && running > settings.WeightConcurrency {
		base = base * float64(running) / float64(settings.WeightConcurrency)
	}
	return milliseconds(base)
}
