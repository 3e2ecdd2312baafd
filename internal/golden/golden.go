// Package golden compares the output of code under test with golden files, which lie in the testdata directory of its package
// and were written by an earlier program: they stand for what is stored on disks and what other instances send and read.
//
//	golden.go    fixtures: one encoded value each, compared in both directions (RoundTrip), with no field left empty (Filled)
//	text.go      texts of several sections, compared as a whole (Check); Quote and Section write them
//
// Where a change of the encoding is wanted, `go test ./internal/cluster/lease -update` rewrites the files of one package.
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

// update rewrites what is compared. Rewritten fixtures no longer show whether the program reads what earlier ones wrote.
var update = flag.Bool("update", false, "rewrite the fixtures under testdata instead of comparing with them")

// Path returns the path of a fixture, relative to the package under test.
func Path(name string) string { return filepath.Join("testdata", name) }

// Read returns the bytes of a fixture, and fails the test where there is none.
func Read(tb testing.TB, name string) []byte {
	tb.Helper()
	raw, err := os.ReadFile(Path(name))
	if err != nil {
		tb.Fatalf("fixture: %v", err)
	}
	return raw
}

// Updating tells whether the test run rewrites fixtures.
func Updating() bool { return *update }

// Write rewrites a fixture.
func Write(tb testing.TB, name string, raw []byte) {
	tb.Helper()
	if err := os.MkdirAll(filepath.Dir(Path(name)), 0o755); err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(Path(name), raw, 0o644); err != nil {
		tb.Fatal(err)
	}
}

// Compare fails the test unless the bytes are those of the fixture.
func Compare(tb testing.TB, name string, got []byte) {
	tb.Helper()
	if Updating() {
		Write(tb, name, got)
	}
	if want := Read(tb, name); !bytes.Equal(got, want) {
		tb.Errorf("%s: encoded differently:\n got %q\nwant %q", name, got, want)
	}
}

// Equal fails the test unless a decoded value is the one that was encoded.
func Equal(tb testing.TB, name string, got, want any) {
	tb.Helper()
	if !reflect.DeepEqual(got, want) {
		tb.Errorf("%s: decoded differently:\n got %+v\nwant %+v", name, got, want)
	}
}

// RoundTrip compares a value with its fixture in both directions, and requires that no field of it is left empty.
func RoundTrip[T any](tb testing.TB, name string, value T, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	tb.Helper()
	Filled(tb, name, value)
	raw, err := encode(&value)
	if err != nil {
		tb.Fatalf("%s: %v", name, err)
	}
	Compare(tb, name, raw)
	var back T
	if err := decode(Read(tb, name), &back); err != nil {
		tb.Fatalf("%s: %v", name, err)
	}
	Equal(tb, name, back, value)
}

// Filled fails the test where an exported field of a struct, at any depth, has its zero value: an encoder or a decoder that
// leaves the field out would not be noticed.
func Filled(tb testing.TB, name string, value any) {
	tb.Helper()
	for _, path := range emptyFields(name, reflect.ValueOf(value)) {
		tb.Errorf("%s is empty", path)
	}
}

// emptyFields lists the exported fields that have their zero value.
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
