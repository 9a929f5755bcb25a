package dynamic

import (
	"github.com/lotusward/lotusward/internal/config/yamldecode"
	"github.com/lotusward/lotusward/internal/finding"
)

// maxDocumentBytes bounds the text of a document file.
const maxDocumentBytes = 16 << 20

// ParseDocument reads a document from a YAML or JSON file for an import, which
// is a Change with Replace. It reports unknown fields, wrong types and all that
// Validate finds, together, as a *finding.Error with line and column. Revision
// and history of the file are not taken: an import makes the next revision.
func ParseDocument(file string, text []byte) (*Document, error) {
	if len(text) > maxDocumentBytes {
		var list finding.List
		list.AddAt(finding.Place{File: file}, "has %d bytes, at most %d are read", len(text), maxDocumentBytes)
		return nil, list.Err()
	}
	document := &Document{}
	places, findings := yamldecode.Decode(file, text, document)
	document.Revision = 0
	document.History = nil
	if len(findings.Findings()) > 0 {
		return nil, findings.Err()
	}
	checker := newChecker(document)
	checker.check()
	for _, found := range checker.findings.Findings() {
		findings.AddAt(places.At(found.Place.Path), "%s", found.Message)
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return document.normalized(), nil
}
