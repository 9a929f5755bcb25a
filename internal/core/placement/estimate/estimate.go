// Package estimate learns how fast engines compute prompts, from the time that
// first tokens take.
package estimate

// Where learning starts and how far it may go.
const (
	// DefaultSecondsPerToken is the pace until first tokens have told better.
	DefaultSecondsPerToken = 40e-6
	// DefaultStepSeconds is the wait for a first token beside prompt tokens.
	DefaultStepSeconds = 0.02
	// DefaultImportSecondsPerToken and DefaultImportSeconds are those of KV imports.
	DefaultImportSecondsPerToken = 10e-6
	DefaultImportSeconds         = 0.02
	leastPace                    = 1e-7
	mostPace                     = 0.02
	leastStep                    = 0.0005
	mostStep                     = 0.5
	// forgetting is the weight that a sample loses with each that follows.
	forgetting = 0.995
	// priorSamples is how many samples the defaults count for.
	priorSamples = 20
	priorTokens  = 2000
)

// Pace is the line of the time to a first token over the prompt tokens that are
// computed before it, fitted by least squares with exponential forgetting.
type Pace struct {
	weight, sumX, sumY, sumXX, sumXY float64
	perToken, step                   float64
}

// NewPace makes a pace at the defaults.
func NewPace() *Pace { return newPace(DefaultSecondsPerToken, DefaultStepSeconds) }

// NewImportPace makes a pace at the defaults of KV imports.
func NewImportPace() *Pace { return newPace(DefaultImportSecondsPerToken, DefaultImportSeconds) }

func newPace(perToken, step float64) *Pace {
	pace := &Pace{}
	for _, tokens := range []float64{0, priorTokens} {
		pace.add(priorSamples/2, tokens, step+tokens*perToken)
	}
	pace.fit()
	return pace
}

// SecondsPerToken is the time that one prompt token takes.
func (p *Pace) SecondsPerToken() float64 { return p.perToken }

// StepSeconds is the time to a first token beside that of the prompt tokens.
func (p *Pace) StepSeconds() float64 { return p.step }

// Learn takes the time to a first token, in seconds, and how many prompt tokens
// were computed in it.
func (p *Pace) Learn(tokens, seconds float64) {
	p.weight *= forgetting
	p.sumX *= forgetting
	p.sumY *= forgetting
	p.sumXX *= forgetting
	p.sumXY *= forgetting
	p.add(1, tokens, seconds)
	p.fit()
}

func (p *Pace) add(weight, tokens, seconds float64) {
	p.weight += weight
	p.sumX += weight * tokens
	p.sumY += weight * seconds
	p.sumXX += weight * tokens * tokens
	p.sumXY += weight * tokens * seconds
}

func (p *Pace) fit() {
	variance := p.weight*p.sumXX - p.sumX*p.sumX
	perToken := p.perToken
	if variance > 0 {
		perToken = (p.weight*p.sumXY - p.sumX*p.sumY) / variance
	}
	p.perToken = clamp(perToken, leastPace, mostPace)
	p.step = clamp((p.sumY-p.perToken*p.sumX)/p.weight, leastStep, mostStep)
}

func clamp(value, least, most float64) float64 { return max(least, min(most, value)) }
