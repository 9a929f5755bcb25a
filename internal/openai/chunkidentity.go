package openai

import (
	"bytes"
	"encoding/json"
)

// chunkIdentity keeps the `id` and `created` of an answer's chunks the same over
// all attempts: client libraries refuse an answer whose id changes. It copies
// nothing as long as the engine keeps to them.
type chunkIdentity struct {
	id      []byte
	created []byte
	// head is the start of the chunk that was passed on last, up to its
	// choices. A chunk with the same head needs no look inside.
	head []byte
}

var (
	nameID      = []byte(`"id":`)
	nameCreated = []byte(`"created":`)
	nameChoices = []byte(`"choices"`)
)

// apply returns the chunk with the identity of the first one.
func (c *chunkIdentity) apply(data []byte) []byte {
	if len(c.head) > 0 && bytes.HasPrefix(data, c.head) {
		return data
	}
	if !headFirst(data) {
		return c.rewrite(data)
	}
	changed := c.replace(data, nameID, &c.id)
	changed = c.replace(changed, nameCreated, &c.created)
	if choices := bytes.Index(changed, nameChoices); choices >= 0 {
		c.head = append(c.head[:0], changed[:choices]...)
	}
	return changed
}

// headFirst tells whether a chunk's identity stands before its choices, as most engines
// write it.
func headFirst(data []byte) bool {
	choices := bytes.Index(data, nameChoices)
	return choices < 0 || bytes.Contains(data[:choices], nameID)
}

// rewrite gives a chunk with any order of its fields the identity of the first one. What is
// no JSON object stays as it is.
func (c *chunkIdentity) rewrite(data []byte) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return data
	}
	for name, kept := range map[string]*[]byte{"id": &c.id, "created": &c.created} {
		value, found := fields[name]
		switch {
		case !found:
		case *kept == nil:
			*kept = bytes.Clone(value)
		default:
			fields[name] = *kept
		}
	}
	changed, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	return changed
}

func (c *chunkIdentity) replace(data, name []byte, kept *[]byte) []byte {
	start, end := scalarAfter(data, name)
	if start == end {
		return data
	}
	value := data[start:end]
	if *kept == nil {
		*kept = bytes.Clone(value)
		return data
	}
	if bytes.Equal(value, *kept) {
		return data
	}
	changed := make([]byte, 0, len(data)+len(*kept))
	changed = append(changed, data[:start]...)
	changed = append(changed, *kept...)
	return append(changed, data[end:]...)
}

// scalarAfter finds the value after a name, before the choices of a chunk.
func scalarAfter(data, name []byte) (start, end int) {
	head := data
	if choices := bytes.Index(data, nameChoices); choices >= 0 {
		head = data[:choices]
	}
	at := bytes.Index(head, name)
	if at < 0 {
		return 0, 0
	}
	start = at + len(name)
	length := bytes.IndexAny(head[start:], ",}")
	if length < 0 {
		return 0, 0
	}
	return start, start + length
}
