package model_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

const (
	testModel   = identity.ModelName("m")
	testVersion = identity.WeightsVersion("v1")
	testBlocks  = 40
)

var testStart = time.Unix(1000, 0)

// oracle checks the engine's results against what was submitted.
type oracle struct {
	engine    *model.Engine
	now       time.Time
	requests  map[model.Key]model.Request
	given     map[model.Key]int
	started   map[model.Key]bool
	ended     map[model.Key]bool
	computed  map[prefix.Hash]bool // blocks that some request of this engine's life may have cached
	cached    map[prefix.Hash]bool // as the cache events tell
	submitted int
}

func newOracle() *oracle {
	o := &oracle{now: testStart, requests: map[model.Key]model.Request{}, given: map[model.Key]int{}}
	o.started = map[model.Key]bool{}
	o.ended = map[model.Key]bool{}
	o.crash()
	return o
}

func (o *oracle) crash() {
	for key := range o.requests {
		o.ended[key] = true
	}
	o.engine = model.New(model.Options{Blocks: testBlocks, MaxRunning: 4, MaxWaiting: 6})
	o.engine.SetLoaded(o.now, testModel, testVersion)
	o.computed = map[prefix.Hash]bool{}
	o.cached = map[prefix.Hash]bool{}
}

func (o *oracle) submit(t *rapid.T) {
	salt := prefix.SaltOf(rapid.SampledFrom([]identity.TenantName{"a", "b"}).Draw(t, "tenant"), testModel, testVersion)
	prompt := []byte{}
	for range rapid.IntRange(1, 12).Draw(t, "blocks") {
		fill := rapid.SampledFrom([]byte("xyz")).Draw(t, "fill")
		for range prefix.BlockBytes {
			prompt = append(prompt, fill)
		}
	}
	prompt = prompt[:len(prompt)-rapid.IntRange(0, prefix.BlockBytes-1).Draw(t, "cut")]
	output := rapid.IntRange(1, 40).Draw(t, "output")
	offset := rapid.IntRange(0, output-1).Draw(t, "offset")
	answer := model.AnswerOf(testModel, testVersion, prompt)
	whole := append(prompt, answer.Text(0, output)...)
	o.submitted++
	request := model.Request{
		Key:           model.Key{RequestID: identity.RequestID(fmt.Sprint(o.submitted)), Attempt: 1},
		Model:         testModel,
		Version:       testVersion,
		Chain:         prefix.ChainOf(salt, whole),
		ContextTokens: prefix.Tokens(len(prompt)) + offset,
		FirstOffset:   offset,
		OutputTokens:  output,
		Priority:      rapid.IntRange(0, 2).Draw(t, "priority"),
	}
	if o.engine.Submit(o.now, request) == "" {
		o.requests[request.Key] = request
	}
}

func (o *oracle) check(t *rapid.T) {
	for _, result := range o.engine.Advance(o.now) {
		o.checkResult(t, result)
	}
	for _, event := range o.engine.TakeCacheEvents() {
		for _, hash := range event.Blocks {
			o.cached[prefix.Hash(hash)] = event.Kind == enginewire.BlockStored
			if event.Kind == enginewire.BlockRemoved {
				delete(o.cached, prefix.Hash(hash))
			}
		}
		if event.Kind == enginewire.AllBlocksCleared {
			clear(o.cached)
		}
	}
	if len(o.cached) > testBlocks {
		t.Fatalf("%d blocks cached of %d", len(o.cached), testBlocks)
	}
	load := o.engine.Load(o.now)
	if load.FreeBlocks < 0 || load.FreeBlocks > testBlocks || load.Running > 4 || load.Waiting > 6 {
		t.Fatalf("load out of bounds: %+v", load)
	}
}

func (o *oracle) checkResult(t *rapid.T, result model.Result) {
	switch result := result.(type) {
	case model.Started:
		request := o.requests[result.Key]
		if o.ended[result.Key] || o.started[result.Key] {
			t.Fatalf("%v started twice or after its end", result.Key)
		}
		o.started[result.Key] = true
		// A hit must come from a block that a request of the same life and salt
		// has computed: the salted chain is in the hash.
		for _, hash := range request.Chain[:result.CachedTokens/prefix.BlockTokens] {
			if !o.computed[hash] {
				t.Fatalf("%v hit a block that nobody computed", result.Key)
			}
		}
		for _, hash := range request.Chain {
			o.computed[hash] = true
		}
	case model.Token:
		request := o.requests[result.Key]
		if o.ended[result.Key] || !o.started[result.Key] {
			t.Fatalf("token of %v outside its run", result.Key)
		}
		if result.Offset != request.FirstOffset+o.given[result.Key] {
			t.Fatalf("%v gave offset %d out of order", result.Key, result.Offset)
		}
		o.given[result.Key]++
	case model.Finished:
		request := o.requests[result.Key]
		if o.given[result.Key] != request.OutputTokens-request.FirstOffset {
			t.Fatalf("%v finished after %d tokens", result.Key, o.given[result.Key])
		}
		o.ended[result.Key] = true
	}
}

// TestEngineConservation drives an engine with random requests, cancels, crashes
// and pauses. Each taken request gives exactly its tokens in order or is ended
// by a cancel or crash, the cache stays within its size, and a hit comes only
// from blocks computed in the same life under the same salt.
func TestEngineConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		t.Repeat(map[string]func(*rapid.T){
			"":       o.check,
			"submit": o.submit,
			"advance": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"cancel": func(t *rapid.T) {
				key := model.Key{RequestID: identity.RequestID(fmt.Sprint(rapid.IntRange(1, 20).Draw(t, "id"))), Attempt: 1}
				if o.engine.Cancel(o.now, key) {
					o.check(t)
					o.ended[key] = true
				}
			},
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "dice") == 0 {
					o.crash()
				}
			},
		})
		o.drain(t)
	})
}

// drain lets the engine finish: every taken request must have ended, and all
// blocks must be free again.
func (o *oracle) drain(t *rapid.T) {
	for {
		next, found := o.engine.NextEventAt()
		if !found {
			break
		}
		o.now = next
		o.check(t)
	}
	for key := range o.requests {
		if !o.ended[key] {
			t.Fatalf("%v never ended", key)
		}
	}
	atRest := enginewire.Load{FreeBlocks: testBlocks, TotalBlocks: testBlocks}
	if load := o.engine.Load(o.now); load != atRest {
		t.Fatalf("load at rest is %+v", load)
	}
}

func TestPrefixIsReusedAndPriorityGoesFirst(t *testing.T) {
	engine := model.New(model.Options{MaxRunning: 1})
	engine.SetLoaded(testStart, testModel, testVersion)
	prompt := make([]byte, 100*prefix.BlockBytes)
	request := func(id identity.RequestID, priority int) model.Request {
		return model.Request{
			Key: model.Key{RequestID: id}, Model: testModel, Version: testVersion,
			Chain:         prefix.ChainOf(prefix.SaltOf("a", testModel, testVersion), prompt),
			ContextTokens: prefix.Tokens(len(prompt)), OutputTokens: 2, Priority: priority,
		}
	}
	for _, submitted := range []model.Request{request("first", 1), request("late", 1), request("urgent", 0)} {
		assert.Equal(t, engine.Submit(testStart, submitted), "")
	}
	var order []string
	for _, result := range engine.Advance(testStart.Add(time.Second)) {
		if started, is := result.(model.Started); is {
			order = append(order, fmt.Sprintf("%s %d", started.Key.RequestID, started.CachedTokens))
		}
	}
	assert.DeepEqual(t, order, []string{"first 0", "urgent 1584", "late 1584"})
}

func TestNewWeightsClearTheCacheAndRefuseTheWaiting(t *testing.T) {
	engine := model.New(model.Options{MaxRunning: 1})
	engine.SetLoaded(testStart, testModel, testVersion)
	chain := prefix.ChainOf(1, make([]byte, 10*prefix.BlockBytes))
	for _, id := range []identity.RequestID{"runs", "waits"} {
		code := engine.Submit(testStart, model.Request{
			Key: model.Key{RequestID: id}, Model: testModel, Version: testVersion,
			Chain: chain, ContextTokens: 160, OutputTokens: 1,
		})
		assert.Equal(t, code, "")
	}
	engine.SetLoaded(testStart, testModel, "v2")
	var refused []model.Refused
	for _, result := range engine.Advance(testStart.Add(time.Second)) {
		if result, is := result.(model.Refused); is {
			refused = append(refused, result)
		}
	}
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Code, enginewire.CodeWrongWeights)
	assert.Equal(t, engine.Submit(testStart.Add(time.Second), model.Request{
		Key: model.Key{RequestID: "old"}, Model: testModel, Version: testVersion, ContextTokens: 1, OutputTokens: 1,
	}), enginewire.CodeWrongWeights)
}

func TestKVImportMakesTheExportedPrefixCached(t *testing.T) {
	source, target := model.New(model.Options{}), model.New(model.Options{Blocks: 8})
	chain := prefix.ChainOf(1, make([]byte, 10*prefix.BlockBytes))
	source.SetLoaded(testStart, testModel, testVersion)
	assert.Equal(t, source.Submit(testStart, model.Request{
		Key: model.Key{RequestID: "one"}, Model: testModel, Version: testVersion,
		Chain: chain, ContextTokens: 160, OutputTokens: 1,
	}), "")
	exported, _ := source.Export(testStart.Add(time.Second), chain[5])
	assert.DeepEqual(t, exported, chain[:6])
	endsAt := target.Import(testStart, exported)
	assert.Equal(t, target.CachedTokens(chain, 160), 0)
	target.Advance(endsAt)
	assert.Equal(t, target.CachedTokens(chain, 160), 6*prefix.BlockTokens)
}
