// Package prewarmer computes the declared prompt prefixes of an event on engines
// before its window opens, while this daemon holds the fleet lease. The requests
// go through the scheduler like any other, so that its belief of caches follows.
package prewarmer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/core/prewarm"
	"github.com/lotusward/lotusward/internal/core/scheduler"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

const (
	// interval is the time between two looks at the declared events.
	interval = 500 * time.Millisecond
	// requestTimeout bounds one request to one engine.
	requestTimeout = 8 * time.Second
	// objectTimeout bounds the reading of a prompt from the object store.
	objectTimeout = 5 * time.Second
)

// Lease tells whether this daemon has the duty.
type Lease interface {
	Held() (identity.FencingToken, bool)
}

// Options are what a Runner works with.
type Options struct {
	Lease      Lease
	Views      port.Views
	Objects    port.ObjectStore
	Scheduling port.Scheduling
	Engines    port.Engines
	Log        logrus.FieldLogger
}

// Runner does the duty.
type Runner struct {
	options Options
	planner *prewarm.Planner
}

// New makes a runner.
func New(options Options) *Runner {
	return &Runner{options: options, planner: prewarm.NewPlanner()}
}

// Run looks after declared events until the context ends, and the requests under
// way with it. It always returns nil.
func (r *Runner) Run(ctx context.Context) error {
	var performing sync.WaitGroup
	defer performing.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if _, held := r.options.Lease.Held(); !held {
				continue
			}
			for _, task := range r.planner.Due(now, r.options.Views.View().Document) {
				performing.Go(func() { r.perform(ctx, task) })
			}
		}
	}
}

// perform computes one prefix on as many different engines as the task asks for.
func (r *Runner) perform(ctx context.Context, task prewarm.Task) {
	log := r.options.Log.WithField("event", task.Event).WithField("object", task.Prefix.ObjectKey)
	model := r.options.Views.View().Model(task.Prefix.Model)
	if model == nil {
		log.Warn("The prefix names an unknown model.")
		return
	}
	reading, cancel := context.WithTimeout(ctx, objectTimeout)
	prompt, err := r.options.Objects.Get(reading, task.Prefix.ObjectKey)
	cancel()
	if err != nil {
		log.WithError(err).Warn("The prefix could not be read.")
		return
	}
	var done []identity.BackendID
	for range task.Engines {
		backend, err := r.compute(ctx, task, model, prompt, done)
		if err != nil {
			log.WithError(err).Warn("A prefix was not computed.")
			break
		}
		done = append(done, backend)
	}
	if len(done) > 0 {
		log.WithField("engines", len(done)).Info("A prefix was computed before its event.")
	}
}

// compute has one engine, other than those that have it, compute the prompt.
func (r *Runner) compute(ctx context.Context, task prewarm.Task, model *dynamic.Model, prompt []byte, done []identity.BackendID) (identity.BackendID, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	version := r.options.Views.View().ServingVersion(model)
	salt := prefix.SaltOf(task.Prefix.Tenant, model.Name, version)
	request := scheduler.Request{
		ID: identity.RequestID(uuid.NewString()), Tenant: task.Prefix.Tenant, Kind: identity.KindEngine,
		Model: model.Name, Version: version, Class: identity.ClassBatch,
		Chain: prefix.ChainOf(salt, prompt), PromptTokens: prefix.Tokens(len(prompt)), OutputTokens: 1,
		Deadline: time.Now().Add(requestTimeout), Excluded: done, Attempt: 1,
	}
	start, err := r.options.Scheduling.Schedule(ctx, request)
	if err != nil {
		return "", err
	}
	err = r.generate(ctx, request, start, salt, prompt)
	r.options.Scheduling.Finish(scheduler.Finish{
		RequestID: request.ID, Backend: start.Backend.ID, OutputTokens: 1, Failed: err != nil,
	})
	return start.Backend.ID, err
}

// completionBody is the body of a request for one token, which computes the prompt.
type completionBody struct {
	Model     identity.ModelName `json:"model"`
	Prompt    string             `json:"prompt"`
	MaxTokens int                `json:"max_tokens"`
	Stream    bool               `json:"stream"`
}

// generate sends one request to the engine that was chosen for it, and passes the
// first token on to the scheduler.
func (r *Runner) generate(ctx context.Context, request scheduler.Request, start scheduler.Start, salt prefix.Salt, prompt []byte) error {
	body, err := json.Marshal(completionBody{
		Model: request.Model, Prompt: string(prompt), MaxTokens: request.OutputTokens, Stream: true,
	})
	if err != nil {
		return err
	}
	stream, err := r.options.Engines.Generate(ctx, port.Generation{
		Target: port.Target{
			Backend: start.Backend.ID, Address: start.Backend.Address, RequestID: request.ID, Attempt: 1,
			Incarnation: start.Backend.Incarnation, Class: request.Class,
		},
		Path: enginewire.PathCompletions, Salt: salt, Weights: request.Version, Body: body,
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	first := true
	for {
		_, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if first {
			first = false
			head := stream.Head()
			r.options.Scheduling.FirstToken(scheduler.FirstToken{
				RequestID: request.ID, Backend: start.Backend.ID, Incarnation: head.Incarnation,
				CachedTokens: head.CachedTokens, Load: head.Load,
			})
		}
	}
}
