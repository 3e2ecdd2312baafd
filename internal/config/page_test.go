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

// documentedTypes are the types whose fields docs/configuration.md may name in the column "term in the code".
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

// completeTypes are the types of which the page must name every field, except the listed fields, which no key sets.
var completeTypes = map[string][]string{
	"config.Config":         {"Limits", "RawSettings", "Warnings", "Operator"},
	"config.Limits":         nil,
	"config.Operator":       nil,
	"decision.Settings":     {"Classes", "MaxNotificationDelay", "WithheldShare", "Halt"},
	"decision.RequestClass": nil,
	"settings.Network":      nil,
}

// pageRow is a row of a table of keys.
type pageRow struct {
	key   string
	terms []string // of the form package.Type.Field
	cells []string // all cells, including those of key and terms
}

// tableHeader is the header of each table of keys.
const tableHeader = "| key | term in the code | unit | default | bounds | a higher value trades |"

// readPage returns the rows of all tables of keys on the page.
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
		case line == tableHeader:
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

// keysInCode returns the keys that the code reads: the tags of the types of both files, and the settings in the golden
// file of internal/settings, with "settings " before them.
func keysInCode(t *testing.T) []string {
	t.Helper()
	listed := listKeys("", "json", reflect.TypeFor[configFile]()) + listKeys("", "toml", reflect.TypeFor[operatorFile]())
	keys := map[string]bool{}
	for line := range strings.Lines(listed) {
		key, _, _ := strings.Cut(line, ":")
		keys[key] = true
	}
	raw, err := os.ReadFile("../settings/testdata/keys.golden")
	if err != nil {
		t.Fatal(err)
	}
	index := regexp.MustCompile(`\.\d+\.`)
	for line := range strings.Lines(string(raw)) {
		key := strings.TrimSpace(line)
		isLength := strings.HasSuffix(key, ".count") // the length of a list, see settings.Flatten
		if key == "" || strings.HasPrefix(key, "==") || isLength {
			continue
		}
		keys["settings "+index.ReplaceAllString(key, "[].")] = true
	}
	return slices.Sorted(maps.Keys(keys))
}

// keysOnPage returns the keys of the rows. Keys whose terms are fields of settings have "settings " before them, as in
// keysInCode.
func keysOnPage(t *testing.T, rows []pageRow) []string {
	t.Helper()
	keys := map[string]bool{}
	for _, row := range rows {
		key := row.key
		if strings.HasPrefix(row.terms[0], "decision.") || strings.HasPrefix(row.terms[0], "settings.") {
			key = "settings " + key
		}
		if keys[key] {
			t.Errorf("%s: duplicate row on the page", key)
		}
		keys[key] = true
	}
	return slices.Sorted(maps.Keys(keys))
}

// docs/configuration.md lists exactly the keys that the code reads, with a text in each column. Each of its terms is a
// field that exists, and each field that a key sets is among the terms.
func TestConfigurationPage(t *testing.T) {
	rows := readPage(t)
	terms := map[string]bool{}
	for _, row := range rows {
		if len(row.cells) != strings.Count(tableHeader, "|")-1 || slices.Contains(row.cells, "") {
			t.Fatalf("%s: got cells %q, want a text in each column of %s", row.key, row.cells, tableHeader)
		}
		for _, term := range row.terms {
			checkTerm(t, row.key, term)
			terms[term] = true
		}
	}
	documented, decoded := keysOnPage(t, rows), keysInCode(t)
	for _, key := range decoded {
		if !slices.Contains(documented, key) {
			t.Errorf("%s: the code reads this key, the page does not list it", key)
		}
	}
	for _, key := range documented {
		if !slices.Contains(decoded, key) {
			t.Errorf("%s: the page lists this key, the code does not read it", key)
		}
	}
	for name, except := range completeTypes {
		for _, field := range reflect.VisibleFields(documentedTypes[name]) {
			if term := name + "." + field.Name; !terms[term] && !slices.Contains(except, field.Name) {
				t.Errorf("%s: no row of the page names this field", term)
			}
		}
	}
}

// checkTerm checks that a term is a field of one of documentedTypes.
func checkTerm(t *testing.T, key, term string) {
	t.Helper()
	dot := strings.LastIndex(term, ".")
	if dot < 0 {
		t.Errorf("%s: got term %q, want package.Type.Field", key, term)
		return
	}
	documentedType, isListed := documentedTypes[term[:dot]]
	if !isListed {
		t.Errorf("%s: type %q is not in documentedTypes", key, term[:dot])
		return
	}
	if _, exists := documentedType.FieldByName(term[dot+1:]); !exists {
		t.Errorf("%s: field %s does not exist", key, term)
	}
}
