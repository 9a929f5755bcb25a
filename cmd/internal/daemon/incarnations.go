package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/adapter/httpexchange"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/core/streamorigin"
	"github.com/lotusward/lotusward/internal/weightupdate"
)

// incarnationTimeout bounds the wait for a back end's report.
const incarnationTimeout = 150 * time.Millisecond

// incarnations finds out by the reports of back ends whether they are the listed incarnations.
type incarnations struct {
	report func(ctx context.Context, backend backendpool.Backend) (weightupdate.Report, error)
	log    logrus.FieldLogger
}

// connectionLost reports whether a call reached a back end and its connection was lost before the answer.
func connectionLost(err error) bool {
	var malformed *outcome.MalformedError
	if errors.As(err, &malformed) {
		return false
	}
	var failed *httpexchange.Error
	return errors.As(err, &failed) && failed.Stage != httpexchange.StageUnreached
}

// confirm returns whether a back end is the listed incarnation. One that loses the connection counts as restarted.
func (i *incarnations) confirm(ctx context.Context, backend backendpool.Backend) streamorigin.Certainty {
	listed := backend.ID.Incarnation()
	if listed == 0 {
		return streamorigin.CertaintySure
	}
	bounded, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	report, err := i.report(bounded, backend)
	if err != nil { // a kept connection ends with the incarnation that it was opened to
		report, err = i.report(bounded, backend)
	}
	log := i.log.WithFields(logrus.Fields{"backend": backend.ID.Name(), "listed_incarnation": listed})
	switch {
	case err == nil && report.Incarnation == listed:
		return streamorigin.CertaintySure
	case err == nil:
		log.WithField("incarnation", report.Incarnation).Warn("A back end has restarted since it was listed: no stream that began there goes on.")
		return streamorigin.CertaintyRestarted
	case connectionLost(err) && bounded.Err() == nil:
		log.WithError(err).Warn("A back end lost the connection when it was asked for its incarnation: no stream that began there goes on.")
		return streamorigin.CertaintyRestarted
	}
	log.WithError(err).Warn("A back end doesn't report its incarnation: streams that began there go on only if the service has a single version.")
	return streamorigin.CertaintyUnknown
}
