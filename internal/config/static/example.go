package static

import _ "embed"

// Example is a complete settings file with all keys, at their defaults where
// there is one.
//
//go:embed example.yaml
var Example []byte
