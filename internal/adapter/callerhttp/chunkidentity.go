package callerhttp

import "bytes"

// chunkIdentity keeps the `id` and `created` of an answer's chunks the same over
// all attempts: client libraries refuse an answer whose id changes. It copies
// nothing as long as the engine keeps to them.
type chunkIdentity struct {
	id      []byte
	created []byte
	changed []byte
}

var (
	nameID      = []byte(`"id":`)
	nameCreated = []byte(`"created":`)
	nameChoices = []byte(`"choices"`)
)

// apply returns the chunk with the identity of the first one. The result is valid
// until the next call or the chunk's end.
func (c *chunkIdentity) apply(data []byte) []byte {
	data = c.replace(data, nameID, &c.id)
	return c.replace(data, nameCreated, &c.created)
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
	c.changed = append(changed, data[end:]...)
	return c.changed
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
