package prefix

import (
	"fmt"
	"strconv"
)

// String gives the salt as it stands in headers, in hexadecimal.
func (s Salt) String() string { return fmt.Sprintf("%016x", uint64(s)) }

// ParseSalt reads what Salt.String wrote.
func ParseSalt(text string) (Salt, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("cache salt %q is not a hexadecimal number", text)
	}
	return Salt(value), nil
}

// String gives the hash as it stands in queries, in hexadecimal.
func (h Hash) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// ParseHash reads what Hash.String wrote.
func ParseHash(text string) (Hash, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("block hash %q is not a hexadecimal number", text)
	}
	return Hash(value), nil
}
