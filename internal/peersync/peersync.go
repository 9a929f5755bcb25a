// Package peersync lets daemons ask each other for a snapshot of what they believe of the
// platform's store: one HTTP request, answered in msgpack. It carries; package directory
// decides whom to ask, and what to make of the answer.
package peersync

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/adapter/httpexchange"
	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/deflate"
	"github.com/lotusward/lotusward/internal/directory"
)

const (
	// snapshotPath answers builds that know no updates.
	snapshotPath = "/snapshot"
	updatePath   = "/update"
	// Parameters of a request: what the asker has, and what it needs.
	hasRow       = "has_row"
	needsRow     = "needs_row"
	hasBackends  = "has_back_ends"
	needBackends = "needs_back_ends"
	// hasMembers is zero where it lacks.
	hasMembers = "has_daemons"
	// askerAddress is where the asker answers others.
	askerAddress = "asker"
	// ordersByEra is set by askers that order what the store held by its era. Others are told versions without it.
	ordersByEra = "eras"
	// maximumBytes bounds an answer: 2,800 back ends of 150 bytes each and a
	// configuration of a megabyte fit.
	maximumBytes  = 8 << 20
	headerTimeout = 2 * time.Second
	// silenceTime is how long nothing may come of an answer: the asked daemon waits for half of it for what the asker
	// needs.
	silenceTime = 500 * time.Millisecond
	// leastTold is how long an answer is that tells anything.
	leastTold = 256
	// longestAnswer bounds an answer that comes byte by byte.
	longestAnswer = 10 * time.Second
	// servedAtOnce is how many askers are answered at a time: more would all wait long on
	// a slow link, while others have the answer soon too.
	servedAtOnce = 8
)

// Client asks other daemons. It implements directory.Peers.
type Client struct {
	pool *httpexchange.Pool
	// self is where this daemon answers others.
	self string
	// observe is told how many bytes a daemon has sent; it may be nil.
	observe func(address string, bytes int)
}

// NewClient makes a Client of a daemon that answers others at an address. Observe is told how many bytes the daemon at an
// address has sent; nil is not.
func NewClient(pool *httpexchange.Pool, self string, observe func(address string, bytes int)) *Client {
	return &Client{pool: pool, self: self, observe: observe}
}

var _ directory.Peers = (*Client)(nil)

// sentUpdate is a directory.Update as it is sent: what is made for each asker is deflated for it, and the packed list
// comes as the teller keeps it.
type sentUpdate struct {
	// Rest is the update without the packed list, encoded and deflated.
	Rest   []byte
	Packed []byte
}

// Update implements directory.Peers. Daemons of builds that know no updates are asked for a snapshot.
func (c *Client) Update(ctx context.Context, address string, have directory.Have, begun func()) (directory.Update, error) {
	content, status, err := c.get(ctx, address, updatePath, have, begun)
	if err == nil && status == http.StatusNotFound {
		return c.snapshot(ctx, address, have, begun)
	}
	if err == nil && status == http.StatusServiceUnavailable {
		return directory.Update{}, busy(address, content)
	}
	if err != nil || status != http.StatusOK {
		return directory.Update{}, failed(address, status, err)
	}
	return decode(content)
}

// snapshot asks for what daemons of earlier builds tell.
func (c *Client) snapshot(ctx context.Context, address string, have directory.Have, begun func()) (directory.Update, error) {
	content, status, err := c.get(ctx, address, snapshotPath, have, begun)
	if err != nil || status != http.StatusOK {
		return directory.Update{}, failed(address, status, err)
	}
	var update directory.Update
	err = codec.Unmarshal(content, &update.Snapshot)
	return update, err
}

// busy reads the refusal of a daemon that answers others. Those of earlier builds name nobody.
func busy(address string, content []byte) error {
	refused := &directory.BusyError{Address: address}
	if len(content) > 0 {
		if err := codec.Unmarshal(content, &refused.Others); err != nil {
			return fmt.Errorf("the refusal of %s: %w", address, err)
		}
	}
	return refused
}

func failed(address string, status int, err error) error {
	if err != nil {
		return err
	}
	return fmt.Errorf("what %s believes: status %d", address, status)
}

// get makes one request, and returns the answer's body. It waits for as long as bytes keep coming: how long a whole list
// takes goes by its length and the slower link.
func (c *Client) get(ctx context.Context, address, path string, have directory.Have, begun func()) ([]byte, int, error) {
	values := url.Values{}
	for name, value := range parametersOf(&have) {
		values.Set(name, strconv.FormatUint(*value, 10))
	}
	values.Set(askerAddress, c.self)
	values.Set(ordersByEra, "1")
	bounded, cancel := context.WithTimeoutCause(ctx, longestAnswer, errSilent)
	defer cancel()
	silent, stop := context.WithCancelCause(bounded)
	defer stop(nil)
	quiet := time.AfterFunc(silenceTime, func() { stop(errSilent) })
	defer quiet.Stop()
	answer, err := c.pool.Do(silent, address, &httpexchange.Request{
		Method: http.MethodGet, Target: path + "?" + values.Encode(), Host: address, Header: http.Header{},
	})
	if err != nil {
		return nil, 0, err
	}
	defer answer.Close()
	if begun != nil && answer.Status == http.StatusOK {
		begun()
	}
	content, err := io.ReadAll(io.LimitReader(progressReader{answer, quiet}, maximumBytes))
	if err == nil && c.observe != nil {
		c.observe(address, len(content))
	}
	return content, answer.Status, err
}

// errSilent ends a question of which nothing came for too long.
var errSilent = errors.New("the asked daemon is silent for too long")

// progressReader puts a timer off whenever bytes come.
type progressReader struct {
	reader io.Reader
	quiet  *time.Timer
}

// Read implements io.Reader.
func (r progressReader) Read(into []byte) (int, error) {
	count, err := r.reader.Read(into)
	if count > 0 {
		r.quiet.Reset(silenceTime)
	}
	return count, err
}

func encode(update directory.Update) ([]byte, error) {
	var sent sentUpdate
	if update.List != nil {
		list := *update.List
		sent.Packed, list.Packed = list.Packed, nil
		update.List = &list
	}
	rest, err := codec.Marshal(&update)
	if err != nil {
		return nil, err
	}
	if sent.Rest, err = deflate.Pack(rest); err != nil {
		return nil, err
	}
	return codec.Marshal(&sent)
}

func decode(content []byte) (directory.Update, error) {
	var sent sentUpdate
	var update directory.Update
	if err := codec.Unmarshal(content, &sent); err != nil {
		return update, err
	}
	rest, err := deflate.Unpack(sent.Rest, maximumBytes)
	if err != nil {
		return update, err
	}
	if err := codec.Unmarshal(rest, &update); err != nil {
		return update, err
	}
	if update.List != nil {
		update.List.Packed = sent.Packed
	}
	return update, nil
}

// Server answers other daemons.
type Server struct {
	address string
	mux     *http.ServeMux
	server  *http.Server
	teller  Teller
	log     logrus.FieldLogger
	// places has room for those that are answered now.
	places chan struct{}
	told   told
}

// toldKept is how many daemons that were told are named to others: these are told on from there, so that the number that
// knows grows by a factor in each round.
const toldKept = 16

// told are the daemons that were told last what this one believes.
type told struct {
	mutex     sync.Mutex
	addresses []string
}

// add notes one that was told.
func (t *told) add(address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.addresses = append(slices.DeleteFunc(t.addresses, func(known string) bool { return known == address }), address)
	t.addresses = t.addresses[max(len(t.addresses)-toldKept, 0):]
}

// encoded names them.
func (t *told) encoded() ([]byte, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return codec.Marshal(t.addresses)
}

// Teller tells what a daemon believes. It is a directory.Directory, or a test's.
type Teller interface {
	Update(ctx context.Context, have directory.Have) directory.Update
	Snapshot(ctx context.Context, have directory.Have) directory.Snapshot
	// Era is the store's era of what it believes.
	Era() uint64
}

// NewServer makes a Server that listens on an address (IP:port) once it runs.
func NewServer(address string, teller Teller, log logrus.FieldLogger) *Server {
	mux := http.NewServeMux()
	made := &Server{address: address, mux: mux, teller: teller, log: log, places: make(chan struct{}, servedAtOnce)}
	mux.HandleFunc("GET "+updatePath, made.serve(func(ctx context.Context, asked question) ([]byte, error) {
		if asked.ordersByEra {
			return encode(teller.Update(ctx, asked.have))
		}
		return encode(teller.Update(ctx, asked.have.InEra(teller.Era())).WithoutEra())
	}))
	mux.HandleFunc("GET "+snapshotPath, made.serve(func(ctx context.Context, asked question) ([]byte, error) {
		snapshot := teller.Snapshot(ctx, asked.have.InEra(teller.Era())).WithoutEra()
		return codec.Marshal(&snapshot)
	}))
	made.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return made
}

// Handle adds what else daemons ask each other over HTTP. It must be called before Run.
func (s *Server) Handle(pattern string, handler http.Handler) { s.mux.Handle(pattern, handler) }

// Run serves until the context ends. Without a listener the daemon goes on, and others
// ask elsewhere.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		return s.serveNobody(ctx, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return s.serveNobody(ctx, err)
	}
	return nil
}

// serveNobody logs why other daemons can't ask this one, and waits for the end.
func (s *Server) serveNobody(ctx context.Context, err error) error {
	s.log.WithError(err).WithField("address", s.address).Error("Other daemons can't ask this one for a snapshot.")
	<-ctx.Done()
	return nil
}

// question is what an asker has and needs, and whether it orders versions of the store by its era.
type question struct {
	have        directory.Have
	ordersByEra bool
}

// serve answers questions by what tell returns for them, encoded.
func (s *Server) serve(tell func(ctx context.Context, asked question) ([]byte, error)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		have, err := readHave(query)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		select {
		case s.places <- struct{}{}:
			defer func() { <-s.places }()
		default:
			s.refuse(writer)
			return
		}
		encoded, err := tell(request.Context(), question{have: have, ordersByEra: query.Has(ordersByEra)})
		if err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
		writer.Header().Set("Content-Type", "application/msgpack")
		writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
		if _, err := writer.Write(encoded); err == nil && len(encoded) > leastTold { // else the asker has left, or nothing was known
			s.told.add(query.Get(askerAddress))
		}
	}
}

// refuse names daemons that were told to one that can't be answered now.
func (s *Server) refuse(writer http.ResponseWriter) {
	others, err := s.told.encoded()
	if err != nil { // a list of texts always encodes into memory
		others = nil
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
	_, _ = writer.Write(others)
}

// parametersOf are the parameters that tell what an asker has and needs, by their names.
func parametersOf(have *directory.Have) map[string]*uint64 {
	return map[string]*uint64{
		hasRow: &have.RowVersion, needsRow: &have.NeedRowVersion, hasBackends: &have.BackendsTo, needBackends: &have.NeedBackendsTo, hasMembers: &have.MembersTo,
	}
}

func readHave(values url.Values) (directory.Have, error) {
	var have directory.Have
	for name, into := range parametersOf(&have) {
		text := values.Get(name)
		if text == "" && name == hasMembers {
			continue // askers of earlier builds don't say
		}
		value, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return have, fmt.Errorf("parameter %s is no number: %q", name, text)
		}
		*into = value
	}
	return have, nil
}
