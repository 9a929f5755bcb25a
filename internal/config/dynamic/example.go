package dynamic

import _ "embed"

// Example is a complete document in the form that ParseDocument reads. The
// operators' page shows the same text.
//
//go:embed example.yaml
var Example []byte
