package fault

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/lab/load"
	"github.com/lotusward/lotusward/internal/lab/process"
	"github.com/lotusward/lotusward/internal/standin/app"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
)

// The workload's parts, in requests a second, and its sizes.
const (
	completionsPerSecond = 30
	pagesPerSecond       = 10
	keyedPerSecond       = 10
	chapters             = 6
	chapterBytes         = 8 << 10
	leastTokens          = 5
	mostTokens           = 200
	requestTimeout       = 30 * time.Second
	firstTokenDeadline   = 10 * time.Second
	// keyedTries is how often a caller asks again with the same key.
	keyedTries = 3
	keyedPause = 300 * time.Millisecond
)

// workload sends requests to all daemons until its context ends.
type workload struct {
	deployment *process.Deployment
	oracle     *oracle
	client     *load.Client
	texts      []string
	tenants    []identity.TenantName
	running    sync.WaitGroup
}

func newWorkload(deployment *process.Deployment, judge *oracle) *workload {
	made := &workload{deployment: deployment, oracle: judge, client: load.NewClient()}
	for chapter := range chapters {
		line := fmt.Sprintf("chapter %d of the season's race log. ", chapter)
		made.texts = append(made.texts, strings.Repeat(line, chapterBytes/len(line)))
	}
	for _, tenant := range deployment.Plan.Document.Tenants {
		made.tenants = append(made.tenants, tenant.Name)
	}
	return made
}

// run sends until the context ends and then waits for the last answers.
func (w *workload) run(ctx context.Context) {
	const perSecond = completionsPerSecond + pagesPerSecond + keyedPerSecond
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	defer w.client.Close()
	defer w.running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		switch draw := rand.IntN(perSecond); {
		case draw < completionsPerSecond:
			w.running.Go(w.completion)
		case draw < completionsPerSecond+pagesPerSecond:
			w.running.Go(func() { w.page("/places/"+uuid.NewString(), rand.IntN(len(w.deployment.Daemons)), "") })
		default:
			w.running.Go(w.keyed)
		}
	}
}

func (w *workload) call(daemon int, key string) load.Call {
	return load.Call{
		Address: w.deployment.Daemons[daemon].Callers, Key: load.KeyOf(w.tenants[0]),
		Class: identity.ClassStandard, Deadline: firstTokenDeadline, IdempotencyKey: key,
	}
}

func (w *workload) completion() {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	daemon := rand.IntN(len(w.deployment.Daemons))
	call := w.call(daemon, "")
	call.Key = load.KeyOf(w.tenants[rand.IntN(len(w.tenants))])
	prompt := w.texts[rand.IntN(len(w.texts))] + "Question " + uuid.NewString()
	tokens := leastTokens + rand.IntN(mostTokens-leastTokens)
	began := time.Now()
	answer := w.client.Complete(ctx, call, modelName, prompt, tokens)
	w.oracle.add(sentRequest{
		daemon: daemon, began: began, ended: time.Now(), answer: answer,
		expected: model.AnswerOf(modelName, modelVersion, []byte(prompt)).Text(0, tokens),
	})
}

func (w *workload) page(path string, daemon int, key string) load.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	call := w.call(daemon, key)
	call.Class = identity.ClassInteractive
	began := time.Now()
	answer := w.client.Page(ctx, call, appService, path, []byte("{}"))
	w.oracle.add(sentRequest{
		daemon: daemon, began: began, ended: time.Now(), answer: answer, page: true, key: key,
		expected: app.Answer(http.MethodPost, path, []byte("{}")),
	})
	return answer
}

// keyed sends a request that must run at most once: through two daemons at the
// same time, and again when neither gave the answer.
func (w *workload) keyed() {
	id, err := uuid.NewV7()
	if err != nil {
		return
	}
	path := nonRepeatablePath + "/" + id.String()
	for range keyedTries {
		first := rand.IntN(len(w.deployment.Daemons))
		second := (first + 1) % len(w.deployment.Daemons)
		var pair sync.WaitGroup
		answers := make([]load.Answer, 2)
		pair.Go(func() { answers[0] = w.page(path, first, id.String()) })
		pair.Go(func() { answers[1] = w.page(path, second, id.String()) })
		pair.Wait()
		if answers[0].Whole || answers[1].Whole {
			return
		}
		time.Sleep(keyedPause)
	}
}
