package yamldecode

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// fieldSet is the keys that a struct type takes.
type fieldSet struct {
	names []string
	index map[string]int
}

func fieldsOf(structType reflect.Type) fieldSet {
	set := fieldSet{index: make(map[string]int, structType.NumField())}
	for index := range structType.NumField() {
		name := keyOf(structType.Field(index))
		if name == "" {
			continue
		}
		set.names = append(set.names, name)
		set.index[name] = index
	}
	return set
}

// keyOf gives the key of a field, or "" for a field that is not read.
func keyOf(field reflect.StructField) string {
	if !field.IsExported() {
		return ""
	}
	tag, found := field.Tag.Lookup("yaml")
	if !found {
		tag = field.Tag.Get("json")
	}
	name, _, _ := strings.Cut(tag, ",")
	if name == "-" {
		return ""
	}
	return name
}

func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}, true
	default:
		return nil, false
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func indexed(path string, index int) string {
	return fmt.Sprintf("%s[%d]", path, index)
}
