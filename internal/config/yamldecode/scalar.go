package yamldecode

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

func (d *decoder) scalar(path string, node ast.Node, target reflect.Value) {
	switch target.Kind() {
	case reflect.String:
		d.text(path, node, target)
	case reflect.Bool:
		boolean, isBoolean := node.(*ast.BoolNode)
		if !isBoolean {
			d.wrongType(path, node, "true or false")
			return
		}
		target.SetBool(boolean.Value)
	case reflect.Int, reflect.Int64, reflect.Int32:
		d.integer(path, node, target)
	case reflect.Uint, reflect.Uint64, reflect.Uint32:
		d.unsigned(path, node, target)
	case reflect.Float64:
		d.float(path, node, target)
	default:
		// A programming error: the target struct has a field of an unsupported kind.
		panic(fmt.Sprintf("yamldecode: unsupported kind %s at %s", target.Kind(), path))
	}
}

func (d *decoder) text(path string, node ast.Node, target reflect.Value) {
	text, isText := textOf(node)
	if !isText {
		d.wrongType(path, node, "a text (put it in quotes)")
		return
	}
	target.SetString(text)
}

func (d *decoder) integer(path string, node ast.Node, target reflect.Value) {
	number, isInteger := node.(*ast.IntegerNode)
	if !isInteger {
		d.wrongType(path, node, "a whole number")
		return
	}
	value, err := strconv.ParseInt(plainDigits(number), 0, target.Type().Bits())
	if err != nil {
		d.findings.AddAt(d.place(path, node), "the number is out of range")
		return
	}
	target.SetInt(value)
}

func (d *decoder) unsigned(path string, node ast.Node, target reflect.Value) {
	number, isInteger := node.(*ast.IntegerNode)
	if !isInteger {
		d.wrongType(path, node, "a whole number from 0")
		return
	}
	value, err := strconv.ParseUint(plainDigits(number), 0, target.Type().Bits())
	if err != nil {
		d.findings.AddAt(d.place(path, node), "the number is out of range")
		return
	}
	target.SetUint(value)
}

func (d *decoder) float(path string, node ast.Node, target reflect.Value) {
	switch number := node.(type) {
	case *ast.FloatNode:
		if math.IsInf(number.Value, 0) || math.IsNaN(number.Value) {
			d.wrongType(path, node, "a finite number")
			return
		}
		target.SetFloat(number.Value)
	case *ast.IntegerNode:
		value, err := strconv.ParseFloat(plainDigits(number), 64)
		if err != nil {
			d.findings.AddAt(d.place(path, node), "the number is out of range")
			return
		}
		target.SetFloat(value)
	default:
		d.wrongType(path, node, "a number")
	}
}

func (d *decoder) duration(path string, node ast.Node, target reflect.Value) {
	text, isText := textOf(node)
	if !isText {
		d.wrongType(path, node, "a duration with its unit, such as 250ms or 10s")
		return
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.findings.AddAt(d.place(path, node), "expected a duration with its unit, such as 250ms or 10s, found %q", text)
		return
	}
	target.SetInt(int64(value))
}

func (d *decoder) time(path string, node ast.Node, target reflect.Value) {
	text, isText := textOf(node)
	if !isText {
		d.wrongType(path, node, "a time such as 2026-05-01T17:00:00Z")
		return
	}
	value, err := time.Parse(time.RFC3339, text)
	if err != nil {
		d.findings.AddAt(d.place(path, node), "expected a time such as 2026-05-01T17:00:00Z, found %q", text)
		return
	}
	target.Set(reflect.ValueOf(value))
}

func textOf(node ast.Node) (string, bool) {
	switch text := node.(type) {
	case *ast.StringNode:
		return text.Value, true
	case *ast.LiteralNode:
		return text.Value.Value, true
	default:
		return "", false
	}
}

func plainDigits(number *ast.IntegerNode) string {
	return strings.ReplaceAll(number.GetToken().Value, "_", "")
}

// describe names what a node is, without its value.
func describe(node ast.Node) string {
	switch node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.BoolNode:
		return "true or false"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number"
	default:
		return "a text"
	}
}
