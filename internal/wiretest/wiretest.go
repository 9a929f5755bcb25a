// Package wiretest holds messages and rows to the bytes that earlier builds wrote, which may run beside this one.
//
// Each build that ran in production keeps a file for each message in testdata/wire, NAME.BUILD.hex, which that build
// wrote: a value of which every field is filled by its path. The present build must read every field of them.
package wiretest

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// writeAs writes the files of a build in place of reading them.
var writeAs = flag.String("wiretest.write", "", "write the bytes of this build under its commit")

const (
	directory = "testdata/wire"
	// filledElements is how many elements filled lists have.
	filledElements = 2
	// sampleIncarnation is of filled back ends: their IDs have a form of their own.
	sampleIncarnation = 1796262243000
)

// Datagram holds a message that daemons send each other to the bytes of earlier builds. Lacks are the paths of fields
// that a build's bytes don't have yet, by its commit.
func Datagram[Message any](t *testing.T, name string, lacks map[string][]string) {
	t.Helper()
	check[Message](t, name, lacks, codec.Marshal)
}

// Row holds a row in the store to the bytes of earlier builds.
func Row[Value any](t *testing.T, name string, lacks map[string][]string) {
	t.Helper()
	check[Value](t, name, lacks, msgpack.Marshal)
}

func check[Value any](t *testing.T, name string, lacks map[string][]string, marshal func(any) ([]byte, error)) {
	t.Helper()
	var filled Value
	fill(reflect.ValueOf(&filled).Elem(), "")
	present, err := marshal(&filled)
	assert.NilError(t, err)
	if *writeAs != "" {
		write(t, name, present)
		return
	}
	files, err := filepath.Glob(filepath.Join(directory, name+".*.hex"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, "no build's bytes of %s are kept: run its test in a checkout of each build that ran in production with -wiretest.write COMMIT", name)
	same := false
	for _, file := range files {
		build := strings.Split(filepath.Base(file), ".")[1]
		kept := read(t, file)
		var decoded Value
		assert.NilError(t, codec.Unmarshal(kept, &decoded), "bytes of %s", build)
		compare(t, fmt.Sprintf("%s of %s", name, build), reflect.ValueOf(decoded), reflect.ValueOf(filled), "", lacks[build])
		same = same || bytes.Equal(kept, present)
	}
	assert.Check(t, same, "the shape of %s differs from that of every kept build. Daemons of other builds run beside this one: add fields at the end only, never reuse one, and see docs/design/upgrades.md. If it is meant, keep its bytes with -wiretest.write COMMIT once it has landed, and name it in lacks", name)
}

func write(t *testing.T, name string, content []byte) {
	t.Helper()
	assert.NilError(t, os.MkdirAll(directory, 0o755))
	path := filepath.Join(directory, name+"."+*writeAs+".hex")
	assert.NilError(t, os.WriteFile(path, []byte(hex.EncodeToString(content)+"\n"), 0o600))
}

func read(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	content, err := hex.DecodeString(strings.TrimSpace(string(text)))
	assert.NilError(t, err)
	return content
}

// numberOf is a number for a path, the same in all builds: not zero, and small enough for every type but one of eight
// bits, which gets its low ones.
func numberOf(path string) uint64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(path))
	return uint64(hash.Sum32()%30_000)*2 + 1
}

// fill sets every field that can be set to a value of its path.
func fill(value reflect.Value, path string) {
	switch value.Kind() {
	case reflect.Struct:
		for index := range value.NumField() {
			if field := value.Field(index); field.CanSet() {
				fill(field, path+"."+value.Type().Field(index).Name)
			}
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), path)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), filledElements, filledElements))
		for index := range filledElements {
			fill(value.Index(index), fmt.Sprint(path, "[", index, "]"))
		}
	case reflect.Array:
		for index := range value.Len() {
			fill(value.Index(index), fmt.Sprint(path, "[", index, "]"))
		}
	case reflect.Map:
		fillMap(value, path)
	case reflect.String:
		fillString(value, path)
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int8:
		value.SetInt(int64(numberOf(path)%100) + 1)
	case reflect.Uint8:
		value.SetUint(numberOf(path)%200 + 1)
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(numberOf(path) % 30_000))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(numberOf(path))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(numberOf(path) % 100 * 10)) // some are rounded to two digits
	default:
		panic("wiretest: no way to fill " + path + " of " + value.Type().String())
	}
}

// fillMap sets one entry: the order of more is not told by the value.
func fillMap(value reflect.Value, path string) {
	value.Set(reflect.MakeMap(value.Type()))
	key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
	fill(key, path+".key")
	fill(element, path+".value")
	value.SetMapIndex(key, element)
}

func fillString(value reflect.Value, path string) {
	text := fmt.Sprint("t", numberOf(path))
	if value.Type() == reflect.TypeFor[identity.BackendID]() {
		text = string(identity.NewBackendID(identity.BackendName(text), sampleIncarnation))
	}
	value.SetString(text)
}

// compare holds every field of a decoded value to the filled one. Those that a build lacks must be zero.
func compare(t *testing.T, name string, decoded, filled reflect.Value, path string, lacks []string) {
	t.Helper()
	for _, lacking := range lacks {
		if path == lacking {
			assert.Check(t, decoded.IsZero(), "%s has %s = %v, though its build lacks it", name, path, decoded)
			return
		}
	}
	switch filled.Kind() {
	case reflect.Struct:
		for index := range filled.NumField() {
			if filled.Type().Field(index).IsExported() {
				compare(t, name, decoded.Field(index), filled.Field(index), path+"."+filled.Type().Field(index).Name, lacks)
			}
		}
	case reflect.Pointer:
		if assert.Check(t, !decoded.IsNil(), "%s lacks %s", name, path) {
			compare(t, name, decoded.Elem(), filled.Elem(), path, lacks)
		}
	case reflect.Slice, reflect.Array:
		if assert.Check(t, decoded.Len() == filled.Len(), "%s has %d of %s", name, decoded.Len(), path) {
			for index := range filled.Len() {
				compare(t, name, decoded.Index(index), filled.Index(index), path+"[]", lacks)
			}
		}
	default:
		if told, isBackend := decoded.Interface().(identity.BackendID); isBackend && told == identity.NewBackendID(filled.Interface().(identity.BackendID).Name(), 0) {
			return // builds that know no lives tell names alone
		}
		assert.Check(t, reflect.DeepEqual(decoded.Interface(), filled.Interface()), "%s has %s = %v, not %v", name, path, decoded, filled)
	}
}
