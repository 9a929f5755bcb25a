package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/lotusward/lotusward/internal/callerio"
	"github.com/lotusward/lotusward/internal/clock"
	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/buffers"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/relay"
)

const (
	// messageOverhead is how much longer a message may be than the body of its request, for the header fields.
	messageOverhead = 128 << 10
	// messageTimeout bounds the time in which a message must arrive.
	messageTimeout = 5 * time.Second
	copyBytes      = 16 << 10
	// leastUrgent is the priority from which on all are treated alike, and urgentShare the share of the capacity that is
	// reserved for requests more urgent than that.
	leastUrgent = 9
	urgentShare = 0.5
	// lineRate bounds the log lines on requests of other daemons, in lines a second.
	lineRate = 20
)

// errLinkLost ends a request whose network link from this daemon has failed.
var errLinkLost = errors.New("the network link to the back end has failed")

// errNotSent is the cause of a request that this daemon may not send to the back end.
var errNotSent = errors.New("the daemon may not send this request to this back end")

// ServerOptions configures a Server.
type ServerOptions struct {
	// Send makes one direct attempt, without another daemon.
	Send func(ctx context.Context, dispatch *relay.Dispatch) (*relay.Answer, error)
	// IsDaemon reports whether another daemon has an IP address.
	IsDaemon func(ip string) bool
	// Permits reports whether a request may be sent, by what this daemon knows of its caller's key and its back end.
	Permits func(dispatch *relay.Dispatch, key string) bool
	// Lost is called for each request whose connection to the back end was lost.
	Lost func(dispatch *relay.Dispatch)
	// Accepting reports whether this daemon forwards requests now.
	Accepting func() bool
	// MaxBody returns the maximum body of a request, in bytes.
	MaxBody func() int64
	// Capacity is the maximum number of requests in flight for other daemons.
	Capacity int
	// Ledger accounts for the bodies; nil accounts for none.
	Ledger *buffers.Tracker
	// Observe is called with how each request of another daemon ended: "answered", "failed", "cut" or "refused".
	Observe func(outcome string)
	Log     logrus.FieldLogger
}

// Server sends requests of other daemons to back ends. It implements http.Handler and is safe for concurrent use.
type Server struct {
	options ServerOptions
	lines   *rate.Limiter

	mutex  sync.Mutex
	active int
	ended  sync.WaitGroup
}

// NewServer returns a Server.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, lines: rate.NewLimiter(lineRate, lineRate)}
}

// Capacity reports whether the server takes requests now, and how many it has in flight.
func (s *Server) Capacity() (accepts bool, active int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.options.Accepting() && s.active < s.options.Capacity, s.active
}

// Wait waits until no request is in flight, or the context has ended. No new ones may be accepted.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.ended.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// ServeHTTP implements http.Handler. Any status but 200 means that the request was not sent.
func (s *Server) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	host, _, err := net.SplitHostPort(incoming.RemoteAddr)
	if err != nil || !s.options.IsDaemon(host) {
		s.options.Log.WithField("from", incoming.RemoteAddr).Warn("A request to forward came from an address of no daemon and is refused.")
		s.refuse(writer, http.StatusForbidden)
		return
	}
	if !s.enter() {
		s.refuse(writer, http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	exchange := callerio.Open(s.options.Ledger, writer)
	defer exchange.Close()
	received, status := s.receive(exchange, writer, incoming)
	if status != http.StatusOK {
		s.refuse(writer, status)
		return
	}
	dispatch := received.dispatch()
	dispatch.Confirmation = confirmationOf(incoming.Header)
	s.forward(incoming.Context(), writer, dispatch, received.Key)
}

// enter reserves capacity for a request. It returns false if there is none.
func (s *Server) enter() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.options.Accepting() || s.active >= s.options.Capacity {
		return false
	}
	s.active++
	s.ended.Add(1)
	return true
}

func (s *Server) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active--
	s.ended.Done()
}

// hasCapacityFor reports whether a request of a priority may use the capacity that is left. More urgent ones may use more.
func (s *Server) hasCapacityFor(priority int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reserved := urgentShare * float64(min(max(priority, 0), leastUrgent)) / leastUrgent
	return float64(s.active) <= (1-reserved)*float64(s.options.Capacity)
}

func (s *Server) refuse(writer http.ResponseWriter, status int) {
	s.options.Observe("refused")
	writer.Header().Set("Connection", "close") // the body may not have been read
	writer.WriteHeader(status)
}

// receive reads the message of a request and returns the HTTP status to refuse it with, or 200.
func (s *Server) receive(exchange *callerio.Exchange, writer http.ResponseWriter, incoming *http.Request) (*message, int) {
	body, err := exchange.ReadBody(writer, incoming, s.options.MaxBody()+messageOverhead, messageTimeout)
	if err != nil {
		return nil, http.StatusServiceUnavailable
	}
	if exchange.Account.Reserve(clock.Now(), int64(len(body))) != nil { // decoding copies the body
		return nil, http.StatusServiceUnavailable
	}
	var received message
	if err := codec.Unmarshal(body, &received); err != nil {
		s.options.Log.WithError(err).WithField("from", incoming.RemoteAddr).Warn("A request to forward can't be read and is refused.")
		return nil, http.StatusBadRequest
	}
	exchange.Account.SetTenant(identity.TenantName(received.Tenant))
	if !s.hasCapacityFor(received.Priority) {
		return nil, http.StatusServiceUnavailable
	}
	return &received, http.StatusOK
}

// forward sends a request of a caller with a key and passes the answer back.
func (s *Server) forward(ctx context.Context, writer http.ResponseWriter, dispatch *relay.Dispatch, key string) {
	if !s.options.Permits(dispatch, key) {
		s.log(dispatch, "A request of another daemon is not forwarded: its key, route or back end is not known here.", errNotSent)
		_ = s.answer(writer, failedHead(outcome.Unreached, errNotSent)) // the other daemon may have left
		s.options.Observe("refused")
		return
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if dispatch.EndOnLinkLoss {
		dispatch.OnLinkLost = func() { cancel(errLinkLost) }
	}
	if dispatch.Timeout > 0 {
		bounded, stop := context.WithTimeout(ctx, dispatch.Timeout)
		defer stop()
		ctx = bounded
	}
	answer, err := s.options.Send(ctx, dispatch)
	if err != nil {
		s.options.Observe("failed")
		s.log(dispatch, "A request of another daemon has no answer.", err)
		setNotSent(writer.Header(), err)
		setMalformed(writer.Header(), err)
		_ = s.answer(writer, failedHead(s.evidenceOf(ctx, dispatch, err), err)) // the other daemon may have left
		return
	}
	defer func() { _ = answer.Body.Close() }()
	setIncarnation(writer.Header(), answer.Incarnation)
	if s.answer(writer, answeredHead(answer)) != nil {
		s.options.Observe("cut")
		return
	}
	read := &recordedReader{reader: answer.Body}
	if err := pass(writer, read); err != nil {
		s.options.Observe("cut")
		s.log(dispatch, "The answer to a request of another daemon ended early.", err)
		if read.failed {
			s.noteLost(ctx, dispatch)
		}
		panic(http.ErrAbortHandler) // an incomplete answer must not look complete
	}
	s.options.Observe("answered")
}

// log logs why a request of another daemon has no whole answer.
func (s *Server) log(dispatch *relay.Dispatch, sentence string, cause error) {
	if s.lines.Allow() {
		s.options.Log.WithError(cause).WithFields(logrus.Fields{"request": dispatch.Request.ID, "backend": dispatch.Backend}).Info(sentence)
	}
}

// evidenceOf returns what the back end may have done with a request that has no answer.
func (s *Server) evidenceOf(ctx context.Context, dispatch *relay.Dispatch, err error) outcome.Evidence {
	var failed *relay.SendError
	if errors.As(err, &failed) && failed.Evidence == outcome.Unreached {
		return outcome.Unreached
	}
	var malformed *outcome.MalformedError
	if !errors.As(err, &malformed) { // the daemon closed that connection itself
		s.noteLost(ctx, dispatch)
	}
	return outcome.Sent
}

// noteLost reports a lost connection to the back end, unless the request ended first.
func (s *Server) noteLost(ctx context.Context, dispatch *relay.Dispatch) {
	if ctx.Err() == nil {
		s.options.Lost(dispatch)
	}
}

// answer sends a head.
func (s *Server) answer(writer http.ResponseWriter, sent *head) error {
	writer.Header().Set("Content-Type", contentType)
	writer.WriteHeader(http.StatusOK)
	if err := writeHead(writer, sent); err != nil {
		return err
	}
	return http.NewResponseController(writer).Flush()
}

// recordedReader records whether reading failed.
type recordedReader struct {
	reader io.Reader
	failed bool
}

// Read implements io.Reader.
func (r *recordedReader) Read(into []byte) (int, error) {
	count, err := r.reader.Read(into)
	r.failed = err != nil && err != io.EOF
	return count, err
}

// pass passes a body on as it arrives.
func pass(writer http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(writer)
	buffer := make([]byte, copyBytes)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			if _, writeErr := writer.Write(buffer[:count]); writeErr != nil {
				return writeErr
			}
			if flushErr := controller.Flush(); flushErr != nil {
				return flushErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
