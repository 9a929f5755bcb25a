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

// maximumBufferedAnswer is the longest body that is read to its end before the
// caller gets the head.
const maximumBufferedAnswer = 256 << 10

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	head Head
	body []byte
}

// passWhole reads an answer to its end and passes it on. So a cut answer can be
// told apart before the caller has any of it. A failure of a repeatable request
// is kept back, since another back end may do better.
func (r *run) passWhole(ctx context.Context, answer *Answer, success bool) (step, failure) {
	var body bytes.Buffer
	if answer.Head.Length > 0 && answer.Head.Length <= maximumBufferedAnswer {
		body.Grow(int(answer.Head.Length) + bytes.MinRead)
	}
	_, err := io.CopyN(accountedWriter{r, &body}, answer.Body, maximumBufferedAnswer)
	var full *buffers.FullError
	if success && (err == nil || errors.As(err, &full)) {
		return r.passLong(ctx, answer, body.Bytes())
	}
	if err != io.EOF {
		failed := failure{evidence: outcome.Answered, result: backendpool.ResultCut, reason: reasonOf(ctx, "cut_answer")}
		return stepAgain, r.interrupted(ctx, failed)
	}
	whole := &wholeAnswer{head: answer.Head, body: body.Bytes()}
	whole.head.Length = int64(body.Len())
	if !success && r.admitted.match.Route.Repeatable() && answer.Head.Status >= http.StatusInternalServerError {
		return stepAgain, failure{evidence: outcome.Answered, result: backendpool.ResultFailed, reason: reasonBackendFailure, pass: whole}
	}
	r.sendWhole(whole)
	if !success && answer.Head.Status >= http.StatusInternalServerError {
		return stepEnd, failure{result: backendpool.ResultFailed, reason: reasonBackendFailure}
	}
	return stepEnd, failure{result: backendpool.ResultServed}
}

// passOn gives the caller a failure that was kept back.
func (r *run) passOn(whole *wholeAnswer) {
	r.sendWhole(whole)
	r.ended(reasonBackendFailure)
}

func (r *run) sendWhole(whole *wholeAnswer) {
	r.firstByte = r.now().Sub(r.admitted.request.ArrivedAt)
	r.begun = true
	if err := r.caller.Begin(whole.head); err != nil {
		return
	}
	if err := r.write(whole.body); err != nil {
		return
	}
	_ = r.flush()
}

// passLong passes on an answer that is too long to be held.
func (r *run) passLong(ctx context.Context, answer *Answer, first []byte) (step, failure) {
	r.firstByte = r.now().Sub(r.admitted.request.ArrivedAt)
	r.begun = true
	if err := r.caller.Begin(answer.Head); err != nil {
		return stepEnd, failure{result: backendpool.ResultAbandoned, reason: r.left()}
	}
	if err := r.write(first); err != nil {
		return stepEnd, failure{result: backendpool.ResultAbandoned, reason: r.left()}
	}
	if _, err := io.Copy(callerWriter{r}, answer.Body); err != nil {
		r.caller.Abort()
		return stepEnd, r.interrupted(ctx, failure{result: backendpool.ResultCut, reason: reasonOf(ctx, "cut_answer")})
	}
	_ = r.flush()
	return stepEnd, failure{result: backendpool.ResultServed}
}

// accountedWriter writes to a buffer within what may be held for a request.
type accountedWriter struct {
	run    *run
	buffer *bytes.Buffer
}

// Write implements io.Writer. A piece for which there is no room is written, as it has been read, and fails.
func (w accountedWriter) Write(piece []byte) (int, error) {
	w.buffer.Write(piece)
	return len(piece), w.run.admitted.request.Account.Reserve(w.run.now(), int64(len(piece)))
}

// callerWriter writes to a caller as an io.Writer.
type callerWriter struct{ run *run }

// Write implements io.Writer.
func (w callerWriter) Write(piece []byte) (int, error) {
	if err := w.run.write(piece); err != nil {
		return 0, err
	}
	return len(piece), nil
}
