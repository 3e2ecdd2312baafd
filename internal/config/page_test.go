package config

import (
	"maps"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"ottershed/decision"
	"ottershed/internal/cluster/gossip"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/cluster/raftlog"
	"ottershed/internal/settings"
)

// documentedTypes are the types whose fields docs/configuration.md may name as terms.
var documentedTypes = map[string]reflect.Type{
	"config.Config":         reflect.TypeFor[Config](),
	"config.Limits":         reflect.TypeFor[Limits](),
	"config.Operator":       reflect.TypeFor[Operator](),
	"decision.Settings":     reflect.TypeFor[decision.Settings](),
	"decision.RequestClass": reflect.TypeFor[decision.RequestClass](),
	"settings.Network":      reflect.TypeFor[settings.Network](),
	"gossip.Config":         reflect.TypeFor[gossip.Config](),
	"membership.Codec":      reflect.TypeFor[membership.Codec](),
	"membership.Settings":   reflect.TypeFor[membership.Settings](),
	"membership.Seed":       reflect.TypeFor[membership.Seed](),
	"raftlog.Config":        reflect.TypeFor[raftlog.Config](),
	"raftlog.Server":        reflect.TypeFor[raftlog.Server](),
}

// completeTypes are those of which the page must name every field, but for those that no key sets.
var completeTypes = map[string][]string{
	"config.Config":         {"Limits", "Values", "Warnings", "Operator"},
	"config.Limits":         nil,
	"config.Operator":       nil,
	"decision.Settings":     {"Classes", "WithheldShare", "Halt"},
	"decision.RequestClass": nil,
	"settings.Network":      nil,
}

// pageRow is a row of the page's tables.
type pageRow struct {
	key   string
	terms []string
	cells []string
}

// pageColumns are the columns of each table with keys.
const pageColumns = "| key | term in the code | unit | default | bounds | a higher value trades |"

// readPage returns the rows of the page's tables of keys.
func readPage(t *testing.T) (rows []pageRow) {
	t.Helper()
	raw, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	inTable := false
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSpace(line)
		switch {
		case line == pageColumns:
			inTable = true
		case !strings.HasPrefix(line, "|"):
			inTable = false
		case inTable && !strings.HasPrefix(line, "| ---"):
			rows = append(rows, parseRow(line))
		}
	}
	return rows
}

func parseRow(line string) pageRow {
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i, cell := range cells {
		cells[i] = strings.TrimSpace(cell)
	}
	row := pageRow{key: strings.Trim(cells[0], "`"), cells: cells}
	if len(cells) > 1 {
		for term := range strings.SplitSeq(cells[1], ", ") {
			row.terms = append(row.terms, strings.Trim(term, "`"))
		}
	}
	return row
}

// codeKeys are the keys that the code reads: those of the types of both files, and those of settings by the golden
// file that internal/settings is tested against.
func codeKeys(t *testing.T) []string {
	t.Helper()
	listed := keys("", "json", reflect.TypeFor[file]()) + keys("", "toml", reflect.TypeFor[operatorFile]())
	all := map[string]bool{}
	for line := range strings.Lines(listed) {
		key, _, _ := strings.Cut(line, ":")
		all[key] = true
	}
	raw, err := os.ReadFile("../settings/testdata/keys.golden")
	if err != nil {
		t.Fatal(err)
	}
	index := regexp.MustCompile(`\.\d+\.`)
	for line := range strings.Lines(string(raw)) {
		key := strings.TrimSpace(line)
		length := strings.HasSuffix(key, ".count") // of a list, see settings.Flatten
		if key == "" || strings.HasPrefix(key, "==") || length {
			continue
		}
		all["settings "+index.ReplaceAllString(key, "[].")] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// pageKeys are the keys of the rows; those whose terms are of settings have "settings " before them, as in codeKeys.
func pageKeys(t *testing.T, rows []pageRow) []string {
	t.Helper()
	all := map[string]bool{}
	for _, row := range rows {
		key := row.key
		if strings.HasPrefix(row.terms[0], "decision.") || strings.HasPrefix(row.terms[0], "settings.") {
			key = "settings " + key
		}
		if all[key] {
			t.Errorf("%s: on the page twice", key)
		}
		all[key] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// docs/configuration.md has each key that the code reads, and no other, with a text in each column; its terms are
// fields that there are, and all fields that a key sets are among them.
func TestConfigurationPage(t *testing.T) {
	rows := readPage(t)
	terms := map[string]bool{}
	for _, row := range rows {
		if len(row.cells) != strings.Count(pageColumns, "|")-1 || slices.Contains(row.cells, "") {
			t.Fatalf("%s: columns missing or empty: %q", row.key, row.cells)
		}
		for _, term := range row.terms {
			checkTerm(t, row.key, term)
			terms[term] = true
		}
	}
	onPage, inCode := pageKeys(t, rows), codeKeys(t)
	for _, key := range inCode {
		if !slices.Contains(onPage, key) {
			t.Errorf("%s: read by the code and not on the page", key)
		}
	}
	for _, key := range onPage {
		if !slices.Contains(inCode, key) {
			t.Errorf("%s: on the page and not read by the code", key)
		}
	}
	for name, except := range completeTypes {
		for _, field := range reflect.VisibleFields(documentedTypes[name]) {
			if term := name + "." + field.Name; !terms[term] && !slices.Contains(except, field.Name) {
				t.Errorf("%s: a field that no row of the page names", term)
			}
		}
	}
}

// checkTerm checks that a term is a field.
func checkTerm(t *testing.T, key, term string) {
	t.Helper()
	dot := strings.LastIndex(term, ".")
	if dot < 0 {
		t.Errorf("%s: %q is not package.Type.Field", key, term)
		return
	}
	of, known := documentedTypes[term[:dot]]
	if !known {
		t.Errorf("%s: %q is not a type that the test knows", key, term[:dot])
		return
	}
	if _, known := of.FieldByName(term[dot+1:]); !known {
		t.Errorf("%s: there is no field %s", key, term)
	}
}
