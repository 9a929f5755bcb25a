// Package query is the operators' language: queries about the running system
// and commands that change its configuration. It is pure: text goes in, typed
// statements, tables and configuration changes come out. The grammar stands in
// the tags of the statement types; docs/operations/language.md explains it.
package query

import "github.com/lotusward/lotusward/internal/core/identity"

// Statement is a parsed *Show or *Command. String gives its canonical text,
// which parses to the same statement.
type Statement interface {
	String() string
	isStatement()
}

// Show is a query: it asks for the rows of one source.
type Show struct {
	Source Source      `parser:"'show' @( 'hot' 'prefixes' | 'waiting' 'requests' | 'leaving' 'backends' | 'engines' | 'backends' | 'daemons' | 'tenants' | 'events' | 'models' | 'revisions' | 'audit' | 'in-force' )"`
	Where  []Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order  *Order      `parser:"( 'order' 'by' @@ )?"`
	Limit  *Count      `parser:"( 'limit' @@ )?"`
}

// Condition holds for rows whose field compares to the value as said.
type Condition struct {
	Field    Operand    `parser:"@@"`
	Operator Comparison `parser:"@Operator"`
	Value    Operand    `parser:"@@"`
}

// Comparison is the operator of a condition.
type Comparison string

// The comparisons.
const (
	Equal          Comparison = "="
	NotEqual       Comparison = "!="
	Less           Comparison = "<"
	LessOrEqual    Comparison = "<="
	Greater        Comparison = ">"
	GreaterOrEqual Comparison = ">="
	// Contains holds when a text has the value as a part, in any case.
	Contains Comparison = "~"
)

// Order sorts rows by a field.
type Order struct {
	Field      Operand `parser:"@@"`
	Descending bool    `parser:"( 'asc' | @'desc' )?"`
}

// Command is an order that changes the configuration.
type Command struct {
	Action Action `parser:"@@"`
	// Base is the revision that the operator had read.
	Base *Count `parser:"( 'if' 'revision' @@ )?"`
	// ChangeID makes a repeated command the same change.
	ChangeID Name `parser:"( 'as' @@ )?"`
}

// BaseRevision returns the revision that the operator had read, or nil.
func (c *Command) BaseRevision() *identity.Revision {
	if c.Base == nil {
		return nil
	}
	revision := identity.Revision(*c.Base)
	return &revision
}

func (*Show) isStatement()    {}
func (*Command) isStatement() {}

// Action is what a command does.
type Action interface {
	String() string
	isAction()
}

// DeclareEvent declares a new event.
type DeclareEvent struct {
	Name          Name           `parser:"'declare' 'event' @@"`
	From          Instant        `parser:"'from' @@"`
	To            Instant        `parser:"'to' @@"`
	Tenants       []Name         `parser:"'tenants' @@ ( ',' @@ )*"`
	Models        []ModelNeed    `parser:"'models' @@ ( ',' @@ )*"`
	NotRepeatable []Route        `parser:"( 'not-repeatable' @@ ( ',' @@ )* )?"`
	Prefixes      []PromptPrefix `parser:"( 'prefixes' @@ ( ',' @@ )* )?"`
}

// ChangeEvent changes the named parts of a declared event and leaves the rest.
type ChangeEvent struct {
	Name          Name           `parser:"'change' 'event' @@"`
	From          *Instant       `parser:"( 'from' @@ )?"`
	To            *Instant       `parser:"( 'to' @@ )?"`
	Tenants       []Name         `parser:"( 'tenants' @@ ( ',' @@ )* )?"`
	Models        []ModelNeed    `parser:"( 'models' @@ ( ',' @@ )* )?"`
	NotRepeatable []Route        `parser:"( 'not-repeatable' @@ ( ',' @@ )* )?"`
	Prefixes      []PromptPrefix `parser:"( 'prefixes' @@ ( ',' @@ )* )?"`
}

// ModelNeed is a model that an event needs on a number of engines.
type ModelNeed struct {
	Service Name        `parser:"@@ '/'"`
	Model   SlashedName `parser:"@@ '@'"`
	Version Name        `parser:"@@"`
	Engines Count       `parser:"'x' @@"`
}

// PromptPrefix is a prompt to compute before an event, kept in the object store.
type PromptPrefix struct {
	Tenant    Name        `parser:"@@ '/'"`
	Model     SlashedName `parser:"@@ 'at'"`
	ObjectKey Name        `parser:"@@"`
}

// CancelEvent removes an event.
type CancelEvent struct {
	Name Name `parser:"'cancel' 'event' @@"`
}

// DrainBackend lets a back end finish its work and gives it no new work.
type DrainBackend struct {
	Backend Name `parser:"'drain' 'backend' @@"`
}

// ReturnBackend undoes DrainBackend.
type ReturnBackend struct {
	Backend Name `parser:"'return' 'backend' @@"`
}

// LoadModel loads a version of a model on an engine.
type LoadModel struct {
	Model   SlashedName `parser:"'load' 'model' @@ '@'"`
	Version Name        `parser:"@@"`
	Engine  Name        `parser:"'on' @@"`
}

// UnloadModel removes a version of a model from an engine.
type UnloadModel struct {
	Model   SlashedName `parser:"'unload' 'model' @@ '@'"`
	Version Name        `parser:"@@"`
	Engine  Name        `parser:"'from' @@"`
}

// LoadAdapter loads an adapter of a model on an engine.
type LoadAdapter struct {
	Adapter SlashedName `parser:"'load' 'adapter' @@"`
	Model   SlashedName `parser:"'of' @@"`
	Engine  Name        `parser:"'on' @@"`
}

// UnloadAdapter removes an adapter of a model from an engine.
type UnloadAdapter struct {
	Adapter SlashedName `parser:"'unload' 'adapter' @@"`
	Model   SlashedName `parser:"'of' @@"`
	Engine  Name        `parser:"'from' @@"`
}

// SetRole changes the role of an engine.
type SetRole struct {
	Role   Name `parser:"'set' 'role' @@"`
	Engine Name `parser:"'on' @@"`
}

// SetLimits changes the named limits of a tenant and leaves the rest. Zero means
// no limit.
type SetLimits struct {
	Tenant          Name    `parser:"'set' 'limits' 'of' @@"`
	TokensPerSecond *Number `parser:"( 'tokens-per-second' @@ )?"`
	Concurrent      *Count  `parser:"( 'concurrent' @@ )?"`
	Weight          *Number `parser:"( 'weight' @@ )?"`
}

// SetVersion changes the version of its weights that a model runs on.
type SetVersion struct {
	Model   SlashedName `parser:"'set' 'version' 'of' @@"`
	Version Name        `parser:"'to' @@"`
}

func (DeclareEvent) isAction()  {}
func (ChangeEvent) isAction()   {}
func (CancelEvent) isAction()   {}
func (DrainBackend) isAction()  {}
func (ReturnBackend) isAction() {}
func (LoadModel) isAction()     {}
func (UnloadModel) isAction()   {}
func (LoadAdapter) isAction()   {}
func (UnloadAdapter) isAction() {}
func (SetRole) isAction()       {}
func (SetLimits) isAction()     {}
func (SetVersion) isAction()    {}
