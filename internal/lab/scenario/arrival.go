package scenario

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
)

// Label tells what a request is.
type Label string

// The labels.
const (
	// LabelLong is a long prompt with nested shared prefixes.
	LabelLong Label = "long"
	// LabelTag is a short model request that a person waits for.
	LabelTag Label = "tag"
	// LabelPage is a web-app page.
	LabelPage Label = "page"
)

// The deadlines of the first token or page.
const (
	longDeadline = 4 * time.Second
	tagDeadline  = 2 * time.Second
	pageDeadline = time.Second
)

// Shares of requests by label; the rest are long.
const (
	tagShare  = 0.15
	pageShare = 0.15
)

// Sizes of short requests, in tokens.
const (
	tagPromptBlocks = 12
	tagOutput       = 8
)

// Arrival is one request of a workload.
type Arrival struct {
	At     time.Duration
	Daemon int
	Tenant identity.TenantName
	Label  Label
	Class  identity.PriorityClass
	// Chain and PromptTokens are of the prompt; empty for pages.
	Chain        prefix.Chain
	PromptTokens int
	// Parts are what the prompt is made of, for runs with real text.
	Parts        []Part
	OutputTokens int
	Deadline     time.Duration
}

// Part is some blocks of a numbered text. Equal parts are equal text.
type Part struct {
	Text   uint64
	Blocks int
}

// generator makes the arrivals of one scenario and seed.
type generator struct {
	scenario *Scenario
	random   *rand.Rand
	prefixes map[documentKey]prefix.Chain
	unique   uint64
}

// documentKey names a section of a tenant's documents with all above it.
type documentKey struct {
	tenant           identity.TenantName
	chapter, section int
}

// Arrivals makes the requests of the scenario, in order of time.
func (s *Scenario) Arrivals(seed uint64) []Arrival {
	g := &generator{
		scenario: s,
		random:   rand.New(rand.NewPCG(seed, xxhash.Sum64String(s.Name))),
		prefixes: make(map[documentKey]prefix.Chain),
	}
	var arrivals []Arrival
	peak := s.peakRate()
	for at := time.Duration(0); ; {
		at += time.Duration(g.random.ExpFloat64() / peak * float64(time.Second))
		if at >= s.Duration {
			return arrivals
		}
		// Thinning makes a Poisson process of a rate that changes with time.
		if g.random.Float64()*peak <= s.rate(at) {
			arrivals = append(arrivals, g.arrival(at))
		}
	}
}

func (g *generator) arrival(at time.Duration) Arrival {
	made := Arrival{At: at, Daemon: g.random.IntN(g.scenario.Deployment.Daemons)}
	made.Tenant = g.tenant(at)
	draw := g.random.Float64()
	switch {
	case draw < pageShare:
		made.Label = LabelPage
		made.Deadline = pageDeadline
	case draw < pageShare+tagShare:
		g.makeTag(&made)
	default:
		g.makeLong(&made)
	}
	return made
}

// tenant draws a tenant by the shares that are in force.
func (g *generator) tenant(at time.Duration) identity.TenantName {
	shares := g.scenario.shares(at)
	total := 0.0
	for _, tenant := range shares {
		total += tenant.Share
	}
	draw := g.random.Float64() * total
	for _, tenant := range shares {
		draw -= tenant.Share
		if draw < 0 {
			return tenant.Name
		}
	}
	return shares[len(shares)-1].Name
}

func (g *generator) makeTag(made *Arrival) {
	made.Label = LabelTag
	made.Class = identity.ClassInteractive
	made.Deadline = tagDeadline
	made.Parts = []Part{{Text: g.uniqueText(), Blocks: tagPromptBlocks}}
	made.Chain = g.extendAll(nil, g.salt(made.Tenant), made.Parts)
	made.PromptTokens = len(made.Chain)*prefix.BlockTokens + g.random.IntN(prefix.BlockTokens)
	made.OutputTokens = tagOutput
}

func (g *generator) makeLong(made *Arrival) {
	shape := g.scenario.Deployment.Prompts
	made.Label = LabelLong
	made.Class = identity.ClassStandard
	made.Deadline = longDeadline
	chapter := g.chapter(made.At, made.Tenant)
	section := g.zipf(shape.Sections)
	documentParts := g.documentParts(chapter, section)
	question := Part{Blocks: 1 + g.random.IntN(2*shape.QuestionBlocks-1), Text: g.uniqueText()}
	shared := g.document(made.Tenant, chapter, section, documentParts)
	made.Parts = append(documentParts, question)
	made.Chain = g.extendAll(shared, g.salt(made.Tenant), []Part{question})
	made.PromptTokens = len(made.Chain)*prefix.BlockTokens + g.random.IntN(prefix.BlockTokens)
	made.OutputTokens = shape.LeastOutput + g.random.IntN(shape.MostOutput-shape.LeastOutput+1)
}

// chapter draws a chapter: a few are hot, and which ones may shift with time.
func (g *generator) chapter(at time.Duration, tenant identity.TenantName) int {
	chapters := g.scenario.Deployment.Prompts.Chapters
	shift := int(xxhash.Sum64String(string(tenant)) % uint64(chapters))
	shift += g.scenario.hotShift(at)
	return (g.zipf(chapters) + shift) % chapters
}

// zipf draws below count with a probability that falls as one by the rank.
func (g *generator) zipf(count int) int {
	total := 0.0
	for rank := 1; rank <= count; rank++ {
		total += 1 / float64(rank)
	}
	draw := g.random.Float64() * total
	for rank := 1; rank <= count; rank++ {
		draw -= 1 / float64(rank)
		if draw < 0 {
			return rank - 1
		}
	}
	return count - 1
}

// documentParts lists the root, chapter and section of a document.
func (g *generator) documentParts(chapter, section int) []Part {
	shape := g.scenario.Deployment.Prompts
	return []Part{
		{Text: 0, Blocks: shape.RootBlocks},
		{Text: uint64(chapter + 1), Blocks: shape.ChapterBlocks},
		{Text: uint64(section + 1), Blocks: shape.SectionBlocks},
	}
}

// document returns the chain of a section with its chapter and root.
func (g *generator) document(tenant identity.TenantName, chapter, section int, parts []Part) prefix.Chain {
	key := documentKey{tenant: tenant, chapter: chapter, section: section}
	if chain, found := g.prefixes[key]; found {
		return chain
	}
	chain := g.extendAll(nil, g.salt(tenant), parts)
	g.prefixes[key] = chain
	return chain
}

func (g *generator) salt(tenant identity.TenantName) prefix.Salt {
	return prefix.SaltOf(tenant, g.scenario.Deployment.Model, g.scenario.Deployment.Version)
}

// uniqueTextBase keeps texts of one request apart from texts of documents.
const uniqueTextBase = 1 << 32

func (g *generator) uniqueText() uint64 {
	g.unique++
	return uniqueTextBase + g.unique
}

// extendAll extends a chain by one part after the other.
func (g *generator) extendAll(chain prefix.Chain, salt prefix.Salt, parts []Part) prefix.Chain {
	for _, part := range parts {
		chain = g.extend(chain, salt, part.Text, part.Blocks)
	}
	return chain
}

// extend returns a copy of a chain with blocks of a text behind it. The blocks'
// hashes are made from the text's number in place of its bytes.
func (g *generator) extend(chain prefix.Chain, salt prefix.Salt, text uint64, blocks int) prefix.Chain {
	extended := make(prefix.Chain, len(chain), len(chain)+blocks)
	copy(extended, chain)
	parent := uint64(salt)
	if len(chain) > 0 {
		parent = uint64(chain[len(chain)-1])
	}
	var buffer [16]byte
	for range blocks {
		binary.LittleEndian.PutUint64(buffer[:8], parent)
		binary.LittleEndian.PutUint64(buffer[8:], text)
		parent = xxhash.Sum64(buffer[:])
		extended = append(extended, prefix.Hash(parent))
	}
	return extended
}
