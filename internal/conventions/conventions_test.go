package conventions

import (
	"bufio"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// moduleRoot is the root of the module, relative to this package.
const moduleRoot = "../.."

// sourceFile is a parsed file of the module.
type sourceFile struct {
	packageDir string // path of its package, relative to the root
	path       string // path of the file, relative to this package
	syntax     *ast.File
}

// Identifiers contain no withdrawn word, except those in the list of exceptions, and each exception is in use.
func TestWithdrawnWords(t *testing.T) {
	fileSet := token.NewFileSet()
	withdrawn := readLineSet(t, "testdata/withdrawn.txt")
	allowed := readLineSet(t, "testdata/allowed.txt")
	used := map[string]bool{}
	for _, file := range parseSources(t, fileSet) {
		for _, name := range declaredIdentifiers(file.syntax) {
			word := withdrawnWord(name.Name, withdrawn)
			if word == "" {
				continue
			}
			key := file.packageDir + " " + name.Name
			used[key] = true
			if !allowed[key] {
				t.Errorf("%s: identifier %s uses the withdrawn word %q", fileSet.Position(name.Pos()), name.Name, word)
			}
		}
	}
	for key := range allowed {
		if !used[key] {
			t.Errorf("testdata/allowed.txt: %q is no longer in use", key)
		}
	}
}

// Each package has a doc comment, and so has each exported function, type, constant and variable outside test files.
func TestDocComments(t *testing.T) {
	fileSet := token.NewFileSet()
	documented := map[string]bool{}
	for _, file := range parseSources(t, fileSet) {
		if strings.HasSuffix(file.path, "_test.go") {
			continue
		}
		documented[file.packageDir] = documented[file.packageDir] || file.syntax.Doc != nil
		for _, name := range undocumented(file.syntax) {
			t.Errorf("%s: exported %s has no doc comment", fileSet.Position(name.Pos()), name.Name)
		}
	}
	for dir, ok := range documented {
		if !ok {
			t.Errorf("package %s has no doc comment", dir)
		}
	}
}

// parseSources parses all Go files of the module.
func parseSources(t *testing.T, fileSet *token.FileSet) []sourceFile {
	t.Helper()
	var files []sourceFile
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(moduleRoot, path)
		if err != nil {
			return err
		}
		if entry.IsDir() && slices.Contains([]string{".git", "bin", "journal", "logs", "found"}, relative) {
			return filepath.SkipDir
		}
		if entry.IsDir() || filepath.Ext(path) != ".go" {
			return nil
		}
		syntax, err := parser.ParseFile(fileSet, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		files = append(files, sourceFile{filepath.ToSlash(filepath.Dir(relative)), path, syntax})
		return nil
	})
	if err != nil {
		t.Fatalf("parse the Go files of the repository: %v", err)
	}
	if len(files) == 0 {
		t.Fatal("no Go files found")
	}
	return files
}

// declaredIdentifiers returns the identifiers that a file declares.
func declaredIdentifiers(file *ast.File) []*ast.Ident {
	var names []*ast.Ident
	addDefined := func(operator token.Token, expressions ...ast.Expr) {
		if operator != token.DEFINE {
			return
		}
		for _, expression := range expressions {
			if name, ok := expression.(*ast.Ident); ok {
				names = append(names, name)
			}
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			names = append(names, node.Name)
		case *ast.TypeSpec:
			names = append(names, node.Name)
		case *ast.ValueSpec:
			names = append(names, node.Names...)
		case *ast.Field:
			names = append(names, node.Names...)
		case *ast.AssignStmt:
			addDefined(node.Tok, node.Lhs...)
		case *ast.RangeStmt:
			addDefined(node.Tok, node.Key, node.Value)
		}
		return true
	})
	return names
}

// interfaceMethods may contain a withdrawn word, because interfaces of the standard library require these names.
var interfaceMethods = []string{"MarshalText", "UnmarshalText", "MarshalJSON", "UnmarshalJSON"}

// wellKnownMethods are exempt from the doc comment, because their names are defined by common interfaces.
var wellKnownMethods = []string{"Error", "String", "Unwrap"}

// wordBoundaries match the boundaries between two words of an identifier.
var wordBoundaries = []*regexp.Regexp{
	regexp.MustCompile(`([a-z0-9])([A-Z])`),
	regexp.MustCompile(`([A-Z]+)([A-Z][a-z])`),
}

// withdrawnWord returns the first withdrawn word in an identifier, or "" if there is none.
func withdrawnWord(name string, withdrawn map[string]bool) string {
	if slices.Contains(interfaceMethods, name) {
		return ""
	}
	for _, boundary := range wordBoundaries {
		name = boundary.ReplaceAllString(name, "${1}_$2")
	}
	for part := range strings.SplitSeq(strings.ToLower(name), "_") {
		if withdrawn[part] {
			return part
		}
	}
	return ""
}

// undocumented returns the exported package-level identifiers of a file without a doc comment. A comment on a group of
// declarations counts for all of them.
func undocumented(file *ast.File) []*ast.Ident {
	var names []*ast.Ident
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			if declaration.Doc == nil && declaration.Name.IsExported() && exportedReceiver(declaration) &&
				!slices.Contains(wellKnownMethods, declaration.Name.Name) {
				names = append(names, declaration.Name)
			}
		case *ast.GenDecl:
			if declaration.Doc != nil {
				continue
			}
			for _, spec := range declaration.Specs {
				names = append(names, undocumentedSpec(spec)...)
			}
		}
	}
	return names
}

// undocumentedSpec returns the exported identifiers of a type, constant or variable declaration without a comment.
func undocumentedSpec(spec ast.Spec) []*ast.Ident {
	var names []*ast.Ident
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		if spec.Doc == nil && spec.Comment == nil && spec.Name.IsExported() {
			names = append(names, spec.Name)
		}
	case *ast.ValueSpec:
		if spec.Doc != nil || spec.Comment != nil {
			return nil
		}
		for _, name := range spec.Names {
			if name.IsExported() {
				names = append(names, name)
			}
		}
	}
	return names
}

// exportedReceiver reports whether a function has no receiver or a receiver of an exported type.
func exportedReceiver(function *ast.FuncDecl) bool {
	if function.Recv == nil {
		return true
	}
	expression := function.Recv.List[0].Type
	for {
		switch inner := expression.(type) {
		case *ast.StarExpr:
			expression = inner.X
		case *ast.IndexExpr:
			expression = inner.X
		case *ast.IndexListExpr:
			expression = inner.X
		case *ast.Ident:
			return inner.IsExported()
		default:
			return false
		}
	}
}

// readLineSet returns the set of lines in a file, without comments, blank lines and the part after a colon.
func readLineSet(t *testing.T, path string) map[string]bool {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatalf("open list %s: %v", path, err)
	}
	defer func() { _ = file.Close() }() // the file was only read
	lines := map[string]bool{}
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line, _, _ := strings.Cut(scanner.Text(), ":")
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			lines[line] = true
		}
	}
	if err := scanner.Err(); err != nil {
		t.Fatalf("read list %s: %v", path, err)
	}
	return lines
}
