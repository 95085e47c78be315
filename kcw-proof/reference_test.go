package proof

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	fleetsetup "kingcupwick.example/kcw-fleet/kcwsetup"
	ledgersetup "kingcupwick.example/kcw-ledger/kcwsetup"
	routersetup "kingcupwick.example/kcw-router/kcwsetup"
	standinsetup "kingcupwick.example/kcw-standin/kcwsetup"
	"kingcupwick.example/kcwctl/kcwtool"
)

// TestReference checks that each table of docs/REFERENCE.md has exactly the rows
// that follow from the code.
func TestReference(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("../docs/REFERENCE.md")
	if err != nil {
		t.Fatal(err)
	}
	tables := readTables(string(page))
	source := parseSource(t)
	for _, test := range []struct {
		heading string
		want    []string
	}{
		{"Settings of kcw-ledger", settingRows(ledgersetup.Settings{})},
		{"Settings of kcw-router", settingRows(routersetup.Settings{})},
		{"Settings of a fleet's router", settingRows(fleetsetup.Router{})},
		{"Settings of a fleet's core", settingRows(fleetsetup.Control{})},
		{"Settings of kcwctl", settingRows(kcwtool.Settings{})},
		{"Settings of kcw-standin", settingRows(standinsetup.Settings{})},
		{"Metrics", source.metrics},
		{"Log fields", source.fields},
		{"Error codes", source.codes},
		{"Exit codes of kcwctl", exitRows()},
	} {
		got := tables[test.heading]
		if len(test.want) == 0 {
			t.Errorf("%s: no rows found in the code", test.heading)
		}
		for _, row := range test.want {
			if !slices.Contains(got, row) {
				t.Errorf("%s: missing or different in the page: %s", test.heading, row)
			}
		}
		for _, row := range got {
			if !slices.Contains(test.want, row) {
				t.Errorf("%s: not in the code: %s", test.heading, row)
			}
		}
	}
}

// readTables returns the rows of the table under each heading. A row is the text
// of its cells that start with a backquote, joined by spaces.
func readTables(page string) map[string][]string {
	cells := regexp.MustCompile("\\| `([^`]*)`")
	tables := map[string][]string{}
	heading := ""
	for _, line := range strings.Split(page, "\n") {
		if title, found := strings.CutPrefix(line, "## "); found {
			heading = title
		}
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		var row []string
		for _, match := range cells.FindAllStringSubmatch(strings.ReplaceAll(line, `\|`, "/"), -1) {
			row = append(row, match[1])
		}
		tables[heading] = append(tables[heading], strings.Join(row, " "))
	}
	return tables
}

// settingRows returns a row with section, key, default and rules for each key of
// a settings struct.
func settingRows(settings any) []string {
	var rows []string
	top := reflect.TypeOf(settings)
	for i := range top.NumField() {
		section, header := top.Field(i), top.Field(i).Name
		inner := section.Type
		if inner.Kind() != reflect.Struct {
			inner, header = inner.Elem(), header+` "name"`
		}
		for j := range inner.NumField() {
			key := inner.Field(j)
			rules := strings.ReplaceAll(key.Tag.Get("setting"), "|", "/")
			cells := []string{"[" + header + "]", key.Name, key.Tag.Get("default"), rules}
			rows = append(rows, strings.Join(slices.DeleteFunc(cells, func(cell string) bool { return cell == "" }), " "))
		}
	}
	return rows
}

func exitRows() []string {
	var rows []string
	for kind := kcwtool.OK; !strings.HasPrefix(kind.String(), "Kind("); kind++ {
		rows = append(rows, strconv.Itoa(int(kind))+" "+kind.String())
	}
	return rows
}

// source holds the names that the parser collects from all modules for the
// comparison with the reference.
type source struct {
	metrics, fields, codes []string
	// codeValues holds the error codes by the names of their constants. refusals
	// holds the constant, status and outcome of each refusal.
	codeValues map[string]string
	refusals   [][3]string
}

// parseSource parses every source file except tests, generated files and
// kcw-demo.
func parseSource(t *testing.T) *source {
	t.Helper()
	s := &source{codeValues: map[string]string{}}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		isSkipped := strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") || filepath.Ext(path) != ".go"
		if entry.IsDir() || isSkipped || strings.Contains(path, "kcw-demo") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, s.visit)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range s.refusals {
		s.codes = append(s.codes, s.codeValues[r[0]]+" "+r[1]+" "+r[2])
	}
	for _, list := range []*[]string{&s.metrics, &s.fields, &s.codes} {
		slices.Sort(*list)
		*list = slices.Compact(*list)
	}
	return s
}

func (s *source) visit(node ast.Node) bool {
	switch n := node.(type) {
	case *ast.CallExpr:
		s.visitCall(n)
	case *ast.ValueSpec:
		if kind, ok := n.Type.(*ast.Ident); ok && kind.Name == "code" && len(n.Values) == 1 {
			s.codeValues[n.Names[0].Name] = stringValue(n.Values[0])
		}
	case *ast.CompositeLit:
		s.addRefusal(n.Elts)
	}
	return true
}

// addRefusal collects a row of the gateway's table of refusals, which has code,
// status, kind and outcome.
func (s *source) addRefusal(cells []ast.Expr) {
	const minCells = 4
	if len(cells) < minCells {
		return
	}
	code, isCode := cells[0].(*ast.Ident)
	outcome, isOutcome := cells[3].(*ast.Ident)
	if !isCode || !isOutcome || !strings.HasPrefix(code.Name, "code") {
		return
	}
	stated := map[string]string{"notRun": "not-run", "ran": "ran", "unknown": "unknown"}[outcome.Name]
	s.refusals = append(s.refusals, [3]string{code.Name, statusOf(cells[1]), stated})
}

// statusOf returns the number of a status given as a literal or as a constant of
// net/http.
func statusOf(expr ast.Expr) string {
	if literal, ok := expr.(*ast.BasicLit); ok {
		return literal.Value
	}
	constant, ok := expr.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	for status := http.StatusBadRequest; status < 600; status++ {
		if "Status"+strings.ReplaceAll(http.StatusText(status), " ", "") == constant.Sel.Name {
			return strconv.Itoa(status)
		}
	}
	return ""
}

// visitCall collects the name of a declared metric or the fields of a log line.
func (s *source) visitCall(call *ast.CallExpr) {
	name := ""
	switch fun := call.Fun.(type) {
	case *ast.Ident:
		name = fun.Name
	case *ast.SelectorExpr:
		name = fun.Sel.Name
	}
	switch name {
	case "Counter", "Histogram", "Gauge", "gauge":
		if metric := stringValue(call.Args[0]); strings.HasPrefix(metric, "kcw_") {
			s.metrics = append(s.metrics, metric)
		}
	case "InfoS":
		s.addLogFields(call.Args[1:])
	case "ErrorS":
		s.addLogFields(call.Args[2:])
	}
}

func (s *source) addLogFields(args []ast.Expr) {
	for i := 0; i < len(args); i += 2 {
		if field := stringValue(args[i]); field != "" {
			s.fields = append(s.fields, field)
		}
	}
}

// stringValue returns the value of a string literal, or "" for other expressions.
func stringValue(expr ast.Expr) string {
	literal, ok := expr.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return ""
	}
	// The parser has accepted the literal.
	value, _ := strconv.Unquote(literal.Value)
	return value
}
