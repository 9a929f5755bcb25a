// Package yamldecode reads a YAML text into a typed value and reports every
// unknown key, repeated key and wrong type together, each with line and column.
// The decoders of the YAML library stop at the first of these.
package yamldecode

import (
	"errors"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/lotusward/lotusward/internal/finding"
)

// Places remembers where in the text each field stands.
type Places struct {
	file   string
	byPath map[string]finding.Place
}

// At returns the place of a field path such as "peers.seeds[1]". For a field
// that the text does not have, it is the place of the nearest parent.
func (p Places) At(path string) finding.Place {
	for parent := path; parent != ""; parent = parentPath(parent) {
		if place, found := p.byPath[parent]; found {
			place.Path = path
			return place
		}
	}
	return finding.Place{File: p.file, Path: path}
}

func parentPath(path string) string {
	end := strings.LastIndexAny(path, ".[")
	if end < 0 {
		return ""
	}
	return path[:end]
}

// Decode reads text into target, a pointer to a struct whose fields carry
// "yaml" or "json" tags. Fields that the text leaves out keep their values. The
// list holds what was found; a checker may go on adding to it.
func Decode(file string, text []byte, target any) (Places, *finding.List) {
	decoder := &decoder{
		places:   Places{file: file, byPath: map[string]finding.Place{}},
		findings: &finding.List{},
	}
	// Repeated keys are reported by this package, so that they don't hide the rest.
	document, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		decoder.syntaxError(err)
		return decoder.places, decoder.findings
	}
	if len(document.Docs) > 1 {
		decoder.findings.AddAt(decoder.place("", document.Docs[1].Body), "the file has more than one YAML document")
	}
	if len(document.Docs) > 0 && document.Docs[0].Body != nil {
		decoder.value("", document.Docs[0].Body, reflect.ValueOf(target).Elem())
	}
	return decoder.places, decoder.findings
}

type decoder struct {
	places   Places
	findings *finding.List
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	timeType     = reflect.TypeFor[time.Time]()
)

func (d *decoder) syntaxError(err error) {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		d.findings.AddAt(finding.Place{File: d.places.file}, "not valid YAML: %v", err)
		return
	}
	place := d.tokenPlace("", located.GetToken())
	d.findings.AddAt(place, "not valid YAML: %s", located.GetMessage())
}

func (d *decoder) tokenPlace(path string, at *token.Token) finding.Place {
	place := finding.Place{File: d.places.file, Path: path}
	if at != nil && at.Position != nil {
		place.Line = at.Position.Line
		place.Column = at.Position.Column
	}
	return place
}

func (d *decoder) place(path string, node ast.Node) finding.Place {
	if node == nil {
		return finding.Place{File: d.places.file, Path: path}
	}
	return d.tokenPlace(path, node.GetToken())
}

func (d *decoder) wrongType(path string, node ast.Node, wanted string) {
	// The value itself is left out of the message: it may be a secret.
	d.findings.AddAt(d.place(path, node), "expected %s, found %s", wanted, describe(node))
}

func (d *decoder) value(path string, node ast.Node, target reflect.Value) {
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		d.findings.AddAt(d.place(path, node), "anchors, aliases and tags are not supported")
		return
	case *ast.NullNode:
		return // the same as leaving the field out
	}
	switch {
	case target.Type() == durationType:
		d.duration(path, node, target)
	case target.Type() == timeType:
		d.time(path, node, target)
	case target.Kind() == reflect.Pointer:
		fresh := reflect.New(target.Type().Elem())
		d.value(path, node, fresh.Elem())
		target.Set(fresh)
	case target.Kind() == reflect.Struct:
		d.structure(path, node, target)
	case target.Kind() == reflect.Slice:
		d.slice(path, node, target)
	default:
		d.scalar(path, node, target)
	}
}

func (d *decoder) structure(path string, node ast.Node, target reflect.Value) {
	entries, isMapping := mappingEntries(node)
	if !isMapping {
		d.wrongType(path, node, "a mapping")
		return
	}
	fields := fieldsOf(target.Type())
	seen := make(map[string]bool, len(entries))
	for _, entry := range entries {
		d.entry(path, entry, target, fields, seen)
	}
}

func (d *decoder) entry(path string, entry *ast.MappingValueNode, target reflect.Value, fields fieldSet, seen map[string]bool) {
	key := entry.Key.GetToken().Value
	fieldPath := join(path, key)
	place := d.tokenPlace(fieldPath, entry.Key.GetToken())
	if seen[key] {
		d.findings.AddAt(place, "the key stands twice")
		return
	}
	seen[key] = true
	index, known := fields.index[key]
	if !known {
		d.findings.AddAt(place, "unknown key; known here: %s", strings.Join(fields.names, ", "))
		return
	}
	d.places.byPath[fieldPath] = place
	if entry.Value != nil {
		d.value(fieldPath, entry.Value, target.Field(index))
	}
}

func (d *decoder) slice(path string, node ast.Node, target reflect.Value) {
	sequence, isSequence := node.(*ast.SequenceNode)
	if !isSequence {
		d.wrongType(path, node, "a list")
		return
	}
	items := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for index, item := range sequence.Values {
		itemPath := indexed(path, index)
		d.places.byPath[itemPath] = d.place(itemPath, item)
		d.value(itemPath, item, items.Index(index))
	}
	target.Set(items)
}
