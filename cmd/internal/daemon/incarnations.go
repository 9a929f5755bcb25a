package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/adapter/httpexchange"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/weightupdate"
)

// incarnationTimeout bounds the wait for a back end's report.
const incarnationTimeout = 150 * time.Millisecond

// incarnations finds out by the reports of back ends whether they have restarted.
type incarnations struct {
	report func(ctx context.Context, backend backendpool.Backend) (weightupdate.Report, error)
	log    logrus.FieldLogger
}

// connectionLost reports whether a call reached a back end and its connection was lost before the answer.
func connectionLost(err error) bool {
	var failed *httpexchange.Error
	return errors.As(err, &failed) && failed.Stage != httpexchange.StageUnreached
}

// Restarted reports whether a back end itself names another incarnation than the listed one, or loses the connection when it is asked.
func (i *incarnations) Restarted(ctx context.Context, backend backendpool.Backend) bool {
	listed := backend.ID.Incarnation()
	if listed == 0 {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	report, err := i.report(bounded, backend)
	if err != nil { // a kept connection ends with the incarnation that it was opened to
		report, err = i.report(bounded, backend)
	}
	log := i.log.WithFields(logrus.Fields{"backend": backend.ID.Name(), "listed_incarnation": listed})
	if err != nil {
		lost := connectionLost(err) && bounded.Err() == nil
		log.WithError(err).WithField("restarted", lost).Warn("A back end doesn't report its incarnation for a stream that began or is to be continued there.")
		return lost
	}
	if report.Incarnation == listed {
		return false
	}
	log.WithField("incarnation", report.Incarnation).Warn("A back end has restarted since it was listed: no stream that began there or is to be continued there goes on.")
	return true
}
