// Package codec encodes messages between daemons as msgpack, and decodes msgpack that others have written, which may
// be anything.
package codec

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal encodes structs without the names of their fields, which would be most of the bytes between daemons.
func Marshal(value any) ([]byte, error) {
	var encoded bytes.Buffer
	encoder := msgpack.NewEncoder(&encoded)
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(value)
	return encoded.Bytes(), err
}

// Unmarshal decodes a value as msgpack.Unmarshal does, once it is sure that it is whole and not nested too deeply. The library takes
// memory for as many elements as a list says it has, and stack for each level of nesting: five bytes that say four thousand million, or
// four million levels, end the process. Elements take a byte at least, so that a list with more than there are bytes is not whole.
func Unmarshal(encoded []byte, into any) error {
	if err := check(encoded); err != nil {
		return err
	}
	return msgpack.Unmarshal(encoded, into)
}
