package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lotusward/lotusward/internal/pause"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// weightsRetryPause is the time between attempts to fetch weights.
const weightsRetryPause = 200 * time.Millisecond

// errFetchFailed is returned when the weight store did not give the weights.
var errFetchFailed = errors.New("weight store refused")

// runLoads loads weights one after the other until the context ends.
func (l *life) runLoads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case wanted := <-l.loads:
			l.load(ctx, wanted)
		}
	}
}

// load fetches weights, again and again until it has them or they are no longer
// wanted, and makes them ready.
func (l *life) load(ctx context.Context, wanted ModelVersion) {
	for l.driver.needed(wanted) {
		err := l.fetchWeights(ctx, wanted)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return
		}
		if l.options.Log != nil {
			l.options.Log.WithError(err).Warn("Could not fetch weights, trying again.")
		}
		pause.For(ctx, weightsRetryPause)
	}
	l.driver.finishLoad(wanted)
	l.SetReady()
}

// fetchWeights takes as long as the weight store needs, or WeightsTime without one.
func (l *life) fetchWeights(ctx context.Context, wanted ModelVersion) error {
	if l.options.WeightStore == "" {
		pause.For(ctx, l.options.WeightsTime)
		return ctx.Err()
	}
	url := l.options.WeightStore + platformwire.PathWeights + string(wanted.Model) + "/" + string(wanted.Version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", errFetchFailed, response.StatusCode)
	}
	return nil
}
