// Package golden compares encoded values with fixtures, files under the testdata directory of the package under test. The
// fixtures were written by an earlier program: they hold what is stored on disks and what other instances send.
//
// Where a change of the encoding is wanted, `go test ./internal/takeover -update` rewrites the fixtures of one package.
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

// Danger: rewritten fixtures no longer tell whether the program reads what earlier ones wrote.
var update = flag.Bool("update", false, "rewrite the fixtures under testdata instead of comparing with them")

// Path is the file of a fixture.
func Path(name string) string { return filepath.Join("testdata", name) }

// Read returns a fixture.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatalf("fixture: %v", err)
	}
	return raw
}

// Updating tells whether fixtures are to be rewritten.
func Updating() bool { return *update }

// Write rewrites a fixture.
func Write(t testing.TB, name string, raw []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(Path(name)), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(Path(name), raw, 0o644); err != nil {
		t.Fatal(err)
	}
}

// Compare fails the test unless the bytes are those of the fixture.
func Compare(t testing.TB, name string, got []byte) {
	t.Helper()
	if Updating() {
		Write(t, name, got)
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: encoded differently:\n got %q\nwant %q", name, got, want)
	}
}

// Equal fails the test unless a decoded value is the one that was encoded.
func Equal(t testing.TB, name string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: decoded differently:\n got %+v\nwant %+v", name, got, want)
	}
}

// RoundTrip compares a value with its fixture in both directions, and requires that no field of it is left empty.
func RoundTrip[T any](t testing.TB, name string, value T, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	t.Helper()
	Filled(t, name, value)
	raw, err := encode(&value)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	Compare(t, name, raw)
	var back T
	if err := decode(Read(t, name), &back); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	Equal(t, name, back, value)
}

// Filled fails the test where an exported field of a struct, at any depth, has its zero value: an encoder or a decoder that
// leaves the field out would not be noticed.
func Filled(t testing.TB, name string, value any) {
	t.Helper()
	for _, path := range emptyFields(name, reflect.ValueOf(value)) {
		t.Errorf("%s is empty", path)
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
