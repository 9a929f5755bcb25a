package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/buffers"
	"github.com/lotusward/lotusward/internal/core/outcome"
)

// maxBufferedAnswer is the maximum length of a body that is read to its end before the caller gets
// the head.
const maxBufferedAnswer = 256 << 10

// errFailureTooLong is of a failure answer that is longer than maxBufferedAnswer.
var errFailureTooLong = &outcome.TooLongError{Part: "body of the failure", Limit: maxBufferedAnswer}

// bufferedAnswer is an answer that has been read to its end.
type bufferedAnswer struct {
	head Head
	body []byte
}

// forwardBuffered reads an answer to its end and forwards it, so that an incomplete answer is
// detected before the caller has received any of it. A failure answer to a repeatable request is
// held back, because another backend may do better.
func (r *run) forwardBuffered(ctx context.Context, answer *Answer, success bool) (step, failure) {
	var body bytes.Buffer
	if answer.Head.Length > 0 && answer.Head.Length <= maxBufferedAnswer {
		body.Grow(int(answer.Head.Length) + bytes.MinRead)
	}
	_, err := io.CopyN(accountedWriter{r, &body}, answer.Body, maxBufferedAnswer)
	var full *buffers.FullError
	if success && (err == nil || errors.As(err, &full)) {
		return r.forwardUnbuffered(ctx, answer, body.Bytes())
	}
	if err == nil {
		err = errFailureTooLong
	}
	if err != io.EOF {
		reason := r.noteBroken(err, "cut_answer")
		failed := failure{evidence: outcome.Answered, result: brokenResult(reason), reason: cancelReason(ctx, reason)}
		return stepRetry, r.adjustForCancel(ctx, failed)
	}
	whole := &bufferedAnswer{head: answer.Head, body: body.Bytes()}
	whole.head.Length = int64(body.Len())
	if !success && r.admitted.match.Route.Repeatable() && answer.Head.Status >= http.StatusInternalServerError {
		return stepRetry, failure{evidence: outcome.Answered, result: backendpool.ResultFailed, reason: reasonBackendFailure, fallback: whole}
	}
	r.writeBuffered(whole)
	if !success && answer.Head.Status >= http.StatusInternalServerError {
		return stepDone, failure{result: backendpool.ResultFailed, reason: reasonBackendFailure}
	}
	return stepDone, failure{result: backendpool.ResultServed}
}

// forwardFallback forwards a failure answer that was held back.
func (r *run) forwardFallback(whole *bufferedAnswer) {
	r.writeBuffered(whole)
	r.reportServed(reasonBackendFailure)
}

func (r *run) writeBuffered(whole *bufferedAnswer) {
	r.firstByte = r.now().Sub(r.admitted.request.ArrivedAt)
	r.headSent = true
	if err := r.caller.Begin(whole.head); err != nil {
		return
	}
	if err := r.write(whole.body); err != nil {
		return
	}
	_ = r.flush()
}

// forwardUnbuffered forwards an answer that is too long to be buffered.
func (r *run) forwardUnbuffered(ctx context.Context, answer *Answer, first []byte) (step, failure) {
	r.firstByte = r.now().Sub(r.admitted.request.ArrivedAt)
	r.headSent = true
	if err := r.caller.Begin(answer.Head); err != nil {
		return stepDone, failure{result: backendpool.ResultAbandoned, reason: r.abandonReason()}
	}
	if err := r.write(first); err != nil {
		return stepDone, failure{result: backendpool.ResultAbandoned, reason: r.abandonReason()}
	}
	if _, err := io.Copy(callerWriter{r}, answer.Body); err != nil {
		r.caller.Abort()
		reason := r.noteBroken(err, "cut_answer")
		return stepDone, r.adjustForCancel(ctx, failure{result: brokenResult(reason), reason: cancelReason(ctx, reason)})
	}
	_ = r.flush()
	return stepDone, failure{result: backendpool.ResultServed}
}

// accountedWriter writes to a buffer and accounts for the buffered bytes.
type accountedWriter struct {
	run    *run
	buffer *bytes.Buffer
}

// Write implements io.Writer. Bytes that exceed the available space are still written, because
// they have already been read, but Write returns an error.
func (w accountedWriter) Write(piece []byte) (int, error) {
	w.buffer.Write(piece)
	return len(piece), w.run.admitted.request.Account.Reserve(w.run.now(), int64(len(piece)))
}

// callerWriter adapts a caller to io.Writer.
type callerWriter struct{ run *run }

// Write implements io.Writer.
func (w callerWriter) Write(piece []byte) (int, error) {
	if err := w.run.write(piece); err != nil {
		return 0, err
	}
	return len(piece), nil
}
