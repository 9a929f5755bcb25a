package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// platformNames are names that only the folder platform/ may know.
var platformNames = regexp.MustCompile(`Lotusward-|"/-/|"(op|servers|tlsKey|fencingToken|trafficSplit)"`)

// TestPlatformNamesStayInside reads all sources but tests: outside platform/ none
// knows the platform's names, and nothing under internal/ imports that folder.
func TestPlatformNamesStayInside(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		assert.NilError(t, err)
		if entry.IsDir() && (relative == "platform" || relative == "journal" || strings.HasPrefix(relative, ".git")) {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		source, err := os.ReadFile(path)
		assert.NilError(t, err)
		if found := platformNames.Find(source); found != nil {
			t.Errorf("%s knows the platform's name %s", relative, found)
		}
		if strings.HasPrefix(relative, "internal") && strings.Contains(string(source), `lotusward/platform`) {
			t.Errorf("%s imports platform", relative)
		}
		return nil
	})
	assert.NilError(t, err)
}
