package peer

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/adapter/keyring"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// Reasons of a refusal, as the metric's label has them.
const (
	reasonMethod    = "method"
	reasonPath      = "path"
	reasonSignature = "signature"
	reasonStale     = "stale"
	reasonTooLarge  = "too_large"
	reasonDigest    = "digest"
	reasonDecode    = "decode"
)

// endpoint answers one decoded path. It returns the answer's status and body.
type endpoint func(ctx context.Context, body []byte) (int, []byte)

// Server answers the calls of other daemons. Register every handler before the
// server serves.
type Server struct {
	ring      *keyring.Ring
	now       func() time.Time
	freshness time.Duration
	bodyLimit int64
	endpoints map[string]endpoint
	refused   *prometheus.CounterVec
}

// NewServer makes a server and registers its metrics. Now gives the wall clock.
func NewServer(ring *keyring.Ring, now func() time.Time, registerer prometheus.Registerer) *Server {
	server := &Server{
		ring:      ring,
		now:       now,
		freshness: DefaultFreshness,
		bodyLimit: DefaultBodyLimit,
		endpoints: map[string]endpoint{},
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lotusward_peer_requests_refused_total",
			Help: "Calls from other daemons that were refused before a handler saw them, by reason.",
		}, []string{"reason"}),
	}
	registerer.MustRegister(server.refused)
	return server
}

// Handle registers the handler of a path. An error of the handler reaches the
// caller as *RemoteError; its text is sent along.
func Handle[Request, Response any](server *Server, path string, handler func(context.Context, Request) (Response, error)) {
	server.endpoints[path] = func(ctx context.Context, body []byte) (int, []byte) {
		var request Request
		if err := msgpack.Unmarshal(body, &request); err != nil {
			server.refused.WithLabelValues(reasonDecode).Inc()
			return http.StatusBadRequest, []byte(err.Error())
		}
		response, err := handler(ctx, request)
		if err != nil {
			return remoteError(path, err)
		}
		encoded, err := msgpack.Marshal(response)
		if err != nil {
			return remoteError(path, err)
		}
		return http.StatusOK, encoded
	}
}

func remoteError(path string, cause error) (int, []byte) {
	encoded, err := msgpack.Marshal(&RemoteError{Path: path, Message: cause.Error()})
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return http.StatusInternalServerError, encoded
}

type senderKey struct{}

// Sender returns the authenticated sender of the call that a handler answers.
// Any holder of the shared key can sign as any daemon.
func Sender(ctx context.Context) identity.DaemonID {
	sender, _ := ctx.Value(senderKey{}).(identity.DaemonID)
	return sender
}

// ServeHTTP implements http.Handler. The signature is checked before the body
// is read, so that a sender without the key costs no memory.
func (s *Server) ServeHTTP(writer http.ResponseWriter, message *http.Request) {
	if refusal := s.checkHead(message); refusal != nil {
		s.refuse(writer, message, refusal)
		return
	}
	body, refusal := s.readBody(writer, message)
	if refusal != nil {
		s.refuse(writer, message, refusal)
		return
	}
	sender := identity.DaemonID(message.Header.Get(headerSender))
	ctx := context.WithValue(message.Context(), senderKey{}, sender)
	status, answer := s.endpoints[message.URL.Path](ctx, body)
	s.answer(writer, message, status, answer)
}

// refusal is why a call is not handled.
type refusal struct {
	status int
	reason string
}

func (s *Server) checkHead(message *http.Request) *refusal {
	if !s.signed(message) {
		return &refusal{http.StatusUnauthorized, reasonSignature}
	}
	if !s.fresh(message) {
		return &refusal{http.StatusUnauthorized, reasonStale}
	}
	if message.Method != http.MethodPost {
		return &refusal{http.StatusMethodNotAllowed, reasonMethod}
	}
	if _, found := s.endpoints[message.URL.Path]; !found {
		return &refusal{http.StatusNotFound, reasonPath}
	}
	return nil
}

func (s *Server) signed(message *http.Request) bool {
	header := message.Header
	signature, err := hex.DecodeString(header.Get(headerSignature))
	if err != nil || len(signature) != keyring.SignatureBytes {
		return false
	}
	parts := requestParts(message.Method, message.URL.Path, header.Get(headerDigest), header.Get(headerTime), header.Get(headerSender))
	return s.ring.Verify(signature, parts...)
}

func (s *Server) fresh(message *http.Request) bool {
	nanoseconds, err := strconv.ParseInt(message.Header.Get(headerTime), 10, 64)
	if err != nil {
		return false
	}
	return s.now().Sub(time.Unix(0, nanoseconds)).Abs() <= s.freshness
}

func (s *Server) readBody(writer http.ResponseWriter, message *http.Request) ([]byte, *refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, message.Body, s.bodyLimit))
	if err != nil {
		return nil, &refusal{http.StatusRequestEntityTooLarge, reasonTooLarge}
	}
	if digestOf(body) != message.Header.Get(headerDigest) {
		return nil, &refusal{http.StatusUnauthorized, reasonDigest}
	}
	return body, nil
}

func (s *Server) refuse(writer http.ResponseWriter, message *http.Request, refusal *refusal) {
	s.refused.WithLabelValues(refusal.reason).Inc()
	s.answer(writer, message, refusal.status, []byte(refusal.reason))
}

func (s *Server) answer(writer http.ResponseWriter, message *http.Request, status int, body []byte) {
	parts := responseParts(message.Header.Get(headerSignature), status, digestOf(body))
	writer.Header().Set("Content-Type", contentType)
	writer.Header().Set(headerSignature, hex.EncodeToString(s.ring.Sign(parts...)))
	writer.WriteHeader(status)
	// A failed write shows at the caller, as a lost answer.
	_, _ = writer.Write(body)
}
