package openai

import (
	"bytes"
	"encoding/json"
	"errors"
)

// field is one member of a JSON object as it stands in the body.
type field struct {
	name string
	// rawName is the name as it stands, with its quotes; raw is the value.
	rawName []byte
	raw     []byte
	// at is where raw starts in the body.
	at int
}

// splitObject returns the members of a JSON object without decoding their
// values. It fails on anything that is not one whole JSON object.
func splitObject(body []byte) ([]field, *failure) {
	if !json.Valid(body) {
		return nil, syntaxFailure(body)
	}
	at := skipJSONSpace(body, 0)
	if body[at] != '{' {
		return nil, invalid(codeInvalidJSON, "", "the body is not a JSON object")
	}
	fields, failed := members(body)
	if failed != nil {
		return nil, failed
	}
	return fields, checkNames(fields)
}

// members returns the members of a valid JSON object.
func members(body []byte) ([]field, *failure) {
	var fields []field
	at := skipJSONSpace(body, skipJSONSpace(body, 0)+1)
	for body[at] != '}' {
		member, next, failed := readMember(body, at)
		if failed != nil {
			return nil, failed
		}
		fields = append(fields, member)
		if body[next] == ',' {
			next = skipJSONSpace(body, next+1)
		}
		at = next
	}
	return fields, nil
}

// readMember reads a member of valid JSON at its name. It returns the position of
// the comma or brace after it.
func readMember(body []byte, at int) (field, int, *failure) {
	nameEnd := skipValue(body, at)
	name, readable := unquote(body[at:nameEnd])
	if !readable {
		return field{}, 0, invalid(codeInvalidJSON, "", "a name cannot be read")
	}
	colon := skipJSONSpace(body, nameEnd)
	start := skipJSONSpace(body, colon+1)
	end := skipValue(body, start)
	return field{name: name, rawName: body[at:nameEnd], raw: body[start:end], at: start}, skipJSONSpace(body, end), nil
}

// checkNames refuses a name that stands twice: readers differ in which they take.
func checkNames(fields []field) *failure {
	seen := make(map[string]bool, len(fields))
	for _, member := range fields {
		if seen[member.name] {
			return invalid(codeInvalidJSON, member.name, "the field %q stands twice", member.name)
		}
		seen[member.name] = true
	}
	return nil
}

// skipValue returns the end of the value of valid JSON that starts at a position.
func skipValue(body []byte, at int) int {
	switch body[at] {
	case '"':
		return skipString(body, at)
	case '{', '[':
		return skipNested(body, at)
	default:
		length := bytes.IndexAny(body[at:], ",]} \t\r\n")
		if length < 0 {
			return len(body)
		}
		return at + length
	}
}

func skipNested(body []byte, at int) int {
	depth := 0
	for {
		switch body[at] {
		case '"':
			at = skipString(body, at) - 1
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		at++
		if depth == 0 {
			return at
		}
	}
}

func skipString(body []byte, at int) int {
	at++
	for {
		at += bytes.IndexByte(body[at:], '"')
		escapes := 0
		for body[at-1-escapes] == '\\' {
			escapes++
		}
		at++
		if escapes%2 == 0 {
			return at
		}
	}
}

func skipJSONSpace(body []byte, at int) int {
	for at < len(body) && (body[at] == ' ' || body[at] == '\t' || body[at] == '\n' || body[at] == '\r') {
		at++
	}
	return at
}

// syntaxFailure tells where broken JSON breaks.
func syntaxFailure(body []byte) *failure {
	var value json.RawMessage
	err := json.Unmarshal(body, &value)
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return invalid(codeInvalidJSON, "", "the body is not JSON")
	}
	line, column := position(body, int(syntax.Offset)-1)
	return invalid(codeInvalidJSON, "", "line %d, column %d: %s", line, column, syntax.Error())
}

// position gives the line and column, counted from 1, of a byte.
func position(body []byte, offset int) (line, column int) {
	offset = min(max(offset, 0), len(body))
	before := body[:offset]
	line = bytes.Count(before, []byte{'\n'}) + 1
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}

// decode reads a member's value into a Go value.
func (f field) decode(body []byte, value any) *failure {
	err := json.Unmarshal(f.raw, value)
	if err == nil {
		return nil
	}
	at := f.at
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		at += int(wrongType.Offset)
	}
	line, column := position(body, at)
	return invalid(codeInvalidValue, f.name, "line %d, column %d: %s: %v", line, column, f.name, err)
}
