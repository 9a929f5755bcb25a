// Package engine is a stand-in for a model engine: the engine model of package
// model in real time behind the wire interface of package enginewire.
package engine

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/standin/backend"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// The defaults of Options.
const (
	DefaultWeightsTime   = 500 * time.Millisecond
	DefaultLoadLag       = 100 * time.Millisecond
	DefaultEventLateness = 50 * time.Millisecond
	DefaultOutputTokens  = 64
)

// ModelVersion is a model with a version of its weights.
type ModelVersion struct {
	Model   identity.ModelName
	Version identity.WeightsVersion
}

// Options set up an Engine. Zero fields get the defaults.
type Options struct {
	ID identity.BackendID
	// Models are loaded at each start.
	Models []ModelVersion
	// WeightStore is the weight store's URL, without a path. When it is empty, a
	// load takes WeightsTime.
	WeightStore string
	WeightsTime time.Duration
	// Model holds the engine's sizes and costs.
	Model model.Options
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// EventLateness is the age of cache events when they are published.
	EventLateness time.Duration
	// EventGapProbability is the share of cache event batches that are lost.
	EventGapProbability float64
	// Seed decides which batches are lost.
	Seed      uint64
	StopGrace time.Duration
	Log       logrus.FieldLogger
}

func (o Options) withDefaults() Options {
	o.WeightsTime = cmp.Or(o.WeightsTime, DefaultWeightsTime)
	o.LoadLag = cmp.Or(o.LoadLag, DefaultLoadLag)
	o.EventLateness = cmp.Or(o.EventLateness, DefaultEventLateness)
	return o
}

// Engine is a stand-in model engine.
type Engine struct {
	*backend.Server
	options Options
}

// New makes an engine that loads its models once it serves.
func New(options Options) *Engine {
	server := backend.New(backend.Options{
		ID: options.ID, Kind: identity.KindEngine, StopGrace: options.StopGrace, Log: options.Log,
	}, enginewire.StateLoading)
	return &Engine{Server: server, options: options.withDefaults()}
}

// Serve answers on the listener until the context ends and then stops in order.
func (e *Engine) Serve(ctx context.Context, listener net.Listener) error {
	return e.Server.Serve(ctx, listener, enginewire.StateLoading, func() backend.Life { return newLife(e) })
}

// life is the engine in one incarnation.
type life struct {
	*Engine
	driver *driver
	mux    *http.ServeMux
	loads  chan ModelVersion
}

// loadsQueued is how many loads may wait for the loading goroutine.
const loadsQueued = 64

func newLife(engine *Engine) *life {
	l := &life{
		Engine: engine,
		driver: newDriver(engine),
		mux:    http.NewServeMux(),
		loads:  make(chan ModelVersion, loadsQueued),
	}
	l.mux.HandleFunc("POST "+enginewire.PathCompletions, l.serveCompletions)
	l.mux.HandleFunc("POST "+enginewire.PathChatCompletions, l.serveChat)
	l.mux.HandleFunc("POST "+enginewire.PathCancel, l.serveCancel)
	l.mux.HandleFunc("GET "+enginewire.PathStatus, l.serveStatus)
	l.mux.HandleFunc("GET "+enginewire.PathCacheEvents, l.serveCacheEvents)
	l.mux.HandleFunc("POST "+enginewire.PathOrders, l.serveOrder)
	l.mux.HandleFunc("GET "+enginewire.PathKVExport, l.serveExport)
	l.mux.HandleFunc("POST "+enginewire.PathKVImport, l.serveImport)
	return l
}

// ServeHTTP implements http.Handler.
func (l *life) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	l.mux.ServeHTTP(writer, request)
}

// Run implements backend.Life.
func (l *life) Run(ctx context.Context) {
	go l.driver.run(ctx)
	for _, wanted := range l.options.Models {
		l.driver.want(wanted)
		l.loads <- wanted
	}
	if len(l.options.Models) == 0 {
		l.SetReady()
	}
	l.runLoads(ctx)
}
