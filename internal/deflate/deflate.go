// Package deflate packs messages between daemons that are long and say much the same again and again, such as lists of
// back ends and configurations.
package deflate

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
)

// ErrTooLong says that a packed message is longer than allowed once it is unpacked.
var ErrTooLong = errors.New("a packed message is too long")

// writers are kept, since one takes more than half a megabyte.
var writers sync.Pool

// Pack returns content packed, by the quickest way.
func Pack(content []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, known := writers.Get().(*flate.Writer)
	if !known {
		made, err := flate.NewWriter(&packed, flate.BestSpeed)
		if err != nil {
			return nil, err
		}
		writer = made
	}
	defer writers.Put(writer)
	writer.Reset(&packed)
	if _, err := writer.Write(content); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// Unpack returns what Pack packed, of at most a number of bytes.
func Unpack(packed []byte, most int) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), int64(most)+1))
	if err != nil {
		return nil, fmt.Errorf("a packed message: %w", err)
	}
	if len(content) > most {
		return nil, ErrTooLong
	}
	return content, nil
}
