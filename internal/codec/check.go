package codec

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds the nesting of values. Messages and rows of daemons have fewer than ten levels.
const maxDepth = 100

// errTooDeep is returned for values that are nested too deeply.
var errTooDeep = errors.New("the value has too many levels of nesting")

// check returns an error if the first value is not whole, or is nested too deeply.
func check(encoded []byte) error {
	scan := scanner{rest: encoded}
	// open holds how many values are left of each list and map that has begun.
	open := make([]uint64, 1, 16)
	open[0] = 1
	for len(open) > 0 {
		last := len(open) - 1
		if open[last] == 0 {
			open = open[:last]
			continue
		}
		open[last]--
		inner, err := scan.next()
		switch {
		case err != nil:
			return err
		case inner == 0:
		case inner > uint64(len(scan.rest)):
			return io.ErrUnexpectedEOF
		case len(open) > maxDepth:
			return errTooDeep
		default:
			open = append(open, inner)
		}
	}
	return nil
}

// scanner reads the heads of values.
type scanner struct{ rest []byte }

// next passes over a value, or over the head of a list or map, and returns how many values that has.
func (s *scanner) next() (inner uint64, err error) {
	head, err := s.number(1)
	if err != nil {
		return 0, err
	}
	switch code := byte(head); {
	case msgpcode.IsFixedNum(code), code == msgpcode.Nil, code == msgpcode.False, code == msgpcode.True:
		return 0, nil
	case msgpcode.IsFixedMap(code):
		return 2 * uint64(code&msgpcode.FixedMapMask), nil
	case msgpcode.IsFixedArray(code):
		return uint64(code & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedString(code):
		return 0, s.skip(uint64(code & msgpcode.FixedStrMask))
	default:
		return s.long(code)
	}
}

// long passes over what follows a code that tells the kind of a value, but not its length.
func (s *scanner) long(code byte) (inner uint64, err error) {
	switch code {
	case msgpcode.Uint8, msgpcode.Int8, msgpcode.Uint16, msgpcode.Int16, msgpcode.Uint32, msgpcode.Int32, msgpcode.Uint64, msgpcode.Int64:
		return 0, s.skip(1 << ((code - msgpcode.Uint8) % 4))
	case msgpcode.Float:
		return 0, s.skip(4)
	case msgpcode.Double:
		return 0, s.skip(8)
	case msgpcode.Array16:
		return s.number(2)
	case msgpcode.Array32:
		return s.number(4)
	case msgpcode.Map16, msgpcode.Map32:
		count, err := s.number(2 << (code - msgpcode.Map16))
		return 2 * count, err
	case msgpcode.Bin8, msgpcode.Bin16, msgpcode.Bin32:
		return 0, s.skipSized(1<<(code-msgpcode.Bin8), 0)
	case msgpcode.Str8, msgpcode.Str16, msgpcode.Str32:
		return 0, s.skipSized(1<<(code-msgpcode.Str8), 0)
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		return 0, s.skipSized(1<<(code-msgpcode.Ext8), 1)
	case msgpcode.FixExt1, msgpcode.FixExt2, msgpcode.FixExt4, msgpcode.FixExt8, msgpcode.FixExt16:
		return 0, s.skip(1 + 1<<(code-msgpcode.FixExt1))
	default:
		return 0, fmt.Errorf("unknown code %#x", code)
	}
}

// number reads a number of a size in bytes.
func (s *scanner) number(size int) (uint64, error) {
	if len(s.rest) < size {
		return 0, io.ErrUnexpectedEOF
	}
	var padded [8]byte
	copy(padded[len(padded)-size:], s.rest[:size])
	s.rest = s.rest[size:]
	return binary.BigEndian.Uint64(padded[:]), nil
}

func (s *scanner) skip(count uint64) error {
	if uint64(len(s.rest)) < count {
		return io.ErrUnexpectedEOF
	}
	s.rest = s.rest[count:]
	return nil
}

// skipSized passes over a value whose length is in its first bytes, and some bytes more.
func (s *scanner) skipSized(size int, more uint64) error {
	count, err := s.number(size)
	if err != nil {
		return err
	}
	return s.skip(count + more)
}
