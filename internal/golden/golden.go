// Package golden compares the output of code under test with golden files in the testdata directory of its package. The
// files were written by an earlier version of the program: they stand for stored data and for messages that
// instances exchange.
//
//	golden.go    fixtures: one encoded value each, compared in both directions (RoundTrip), all fields set (AssertFieldsSet)
//	text.go      texts of several sections, compared as a whole (CheckFile); Quote and Section format them
//
// For an intended change of an encoding, `go test ./internal/cluster/lease -update` rewrites the files of one package.
package golden

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// update rewrites the files. Rewritten fixtures no longer show that the program reads data of earlier versions.
var update = flag.Bool("update", false, "rewrite the fixtures under testdata instead of comparing with them")

// Path returns the path of a fixture, relative to the package under test.
func Path(name string) string { return filepath.Join("testdata", name) }

// Read returns the content of a fixture, and fails the test if the fixture cannot be read.
func Read(tb testing.TB, name string) []byte {
	tb.Helper()
	raw, err := os.ReadFile(Path(name))
	if err != nil {
		tb.Fatalf("read fixture: %v", err)
	}
	return raw
}

// Updating reports whether the test run rewrites fixtures.
func Updating() bool { return *update }

// Write writes a fixture, and fails the test if the fixture cannot be written.
func Write(tb testing.TB, name string, raw []byte) {
	tb.Helper()
	if err := os.MkdirAll(filepath.Dir(Path(name)), 0o755); err != nil {
		tb.Fatalf("create directory of fixture %s: %v", name, err)
	}
	if err := os.WriteFile(Path(name), raw, 0o644); err != nil {
		tb.Fatalf("write fixture %s: %v", name, err)
	}
}

// AssertFixture fails the test unless got equals the content of the fixture. With -update it rewrites the fixture
// first.
func AssertFixture(tb testing.TB, name string, got []byte) {
	tb.Helper()
	if Updating() {
		Write(tb, name, got)
	}
	if want := Read(tb, name); !bytes.Equal(got, want) {
		tb.Errorf("%s: encoding differs:\n got %q\nwant %q", name, got, want)
	}
}

// AssertDecoded fails the test unless a decoded value deeply equals the encoded one.
func AssertDecoded(tb testing.TB, name string, got, want any) {
	tb.Helper()
	if !reflect.DeepEqual(got, want) {
		tb.Errorf("%s: decoded value differs:\n got %+v\nwant %+v", name, got, want)
	}
}

// RoundTrip encodes and decodes a value and compares both results with the fixture. It requires that all fields are
// set.
func RoundTrip[T any](tb testing.TB, name string, value T, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	tb.Helper()
	AssertFieldsSet(tb, name, value)
	raw, err := encode(&value)
	if err != nil {
		tb.Fatalf("encode %s: %v", name, err)
	}
	AssertFixture(tb, name, raw)
	var decoded T
	if err := decode(Read(tb, name), &decoded); err != nil {
		tb.Fatalf("decode %s: %v", name, err)
	}
	AssertDecoded(tb, name, decoded, value)
}

// AssertFieldsSet fails the test if an exported field at any depth is unset. The test would not notice if an encoder or
// a decoder omitted an unset field.
func AssertFieldsSet(tb testing.TB, name string, value any) {
	tb.Helper()
	for _, path := range emptyFields(name, reflect.ValueOf(value)) {
		tb.Errorf("%s is unset, want a nonzero value", path)
	}
}

// emptyFields returns the paths of the exported fields that have their zero value.
func emptyFields(path string, value reflect.Value) (empty []string) {
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !value.IsNil() {
			return emptyFields(path, value.Elem())
		}
	case reflect.Slice, reflect.Array:
		for i := range value.Len() {
			empty = append(empty, emptyFields(path, value.Index(i))...)
		}
	case reflect.Struct:
		if value.Type() == reflect.TypeFor[time.Time]() {
			return nil
		}
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				empty = append(empty, emptyField(path+"."+field.Name, value.Field(i))...)
			}
		}
	}
	return empty
}

func emptyField(path string, value reflect.Value) []string {
	if value.IsZero() || value.Kind() == reflect.Slice && value.Len() == 0 {
		return []string{path}
	}
	return emptyFields(path, value)
}
