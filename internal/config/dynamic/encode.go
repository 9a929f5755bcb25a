package dynamic

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// EncodeChange gives the form in which daemons send a change to each other.
func EncodeChange(change Change) ([]byte, error) {
	return encodeCompact(change)
}

// DecodeChange reads what EncodeChange made. It fails on anything that is not a
// well-formed change.
func DecodeChange(encoded []byte) (Change, error) {
	var change Change
	if err := msgpack.Unmarshal(encoded, &change); err != nil {
		return Change{}, fmt.Errorf("decode change: %w", err)
	}
	if err := checkChange(change); err != nil {
		return Change{}, err
	}
	return change, nil
}

// EncodeDocument gives the form in which whole documents travel and are stored.
func EncodeDocument(document *Document) ([]byte, error) {
	return encodeCompact(document)
}

// DecodeDocument reads what EncodeDocument made.
func DecodeDocument(encoded []byte) (*Document, error) {
	document := &Document{}
	if err := msgpack.Unmarshal(encoded, document); err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	return document, nil
}

// encodeCompact leaves out empty fields, so that equal values that came in
// different ways have one encoding.
func encodeCompact(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetOmitEmpty(true)
	if err := encoder.Encode(value); err != nil {
		return nil, fmt.Errorf("encode %T: %w", value, err)
	}
	return buffer.Bytes(), nil
}
