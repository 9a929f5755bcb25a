// Package query is the operators' language: queries about the running system. It is
// pure: text goes in, typed statements and tables come out. The grammar stands in the
// tags of the statement types; docs/operations/language.md explains it.
package query

// Statement is a parsed *Show. String gives its canonical text, which parses to the same
// statement.
type Statement interface {
	String() string
	isStatement()
}

// Show is a query: it asks for the rows of one source.
type Show struct {
	Source Source      `parser:"'show' @( 'leaving' 'backends' | 'backends' | 'daemons' | 'models' | 'quarantines' | 'rollouts' | 'routes' | 'services' | 'tenants' )"`
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

func (*Show) isStatement() {}
