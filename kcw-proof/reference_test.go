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

// TestReference compares docs/REFERENCE.md with the code: each table's rows
// must be those that the code has, no fewer and no more.
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
			t.Errorf("%s: the code has none", test.heading)
		}
		for _, row := range test.want {
			if !slices.Contains(got, row) {
				t.Errorf("%s: missing or other in the page: %s", test.heading, row)
			}
		}
		for _, row := range got {
			if !slices.Contains(test.want, row) {
				t.Errorf("%s: not in the code: %s", test.heading, row)
			}
		}
	}
}

// readTables returns the rows of the table under each heading: the cells in
// backquotes at the start of the row, joined by spaces.
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

// settingRows returns section, key, default and rules of each key of a
// settings struct.
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

// source is what the reference names out of the code of all modules.
type source struct {
	metrics, fields, codes []string
	// names are the error codes by the names of their constants, refusals the
	// constant, status and outcome of each.
	names    map[string]string
	refusals [][3]string
}

// parseSource reads every source file that is neither a test nor generated.
func parseSource(t *testing.T) *source {
	t.Helper()
	s := &source{names: map[string]string{}}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		isOther := strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") || filepath.Ext(path) != ".go"
		if entry.IsDir() || isOther || strings.Contains(path, "kcw-demo") {
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
		s.codes = append(s.codes, s.names[r[0]]+" "+r[1]+" "+r[2])
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
		s.call(n)
	case *ast.ValueSpec:
		if kind, ok := n.Type.(*ast.Ident); ok && kind.Name == "code" && len(n.Values) == 1 {
			s.names[n.Names[0].Name] = text(n.Values[0])
		}
	case *ast.CompositeLit:
		s.meaning(n.Elts)
	}
	return true
}

// meaning notes a row of the gateway's table of refusals: code, status, kind
// and outcome.
func (s *source) meaning(cells []ast.Expr) {
	const least = 4
	if len(cells) < least {
		return
	}
	code, isCode := cells[0].(*ast.Ident)
	outcome, isOutcome := cells[3].(*ast.Ident)
	if !isCode || !isOutcome || !strings.HasPrefix(code.Name, "code") {
		return
	}
	said := map[string]string{"notRun": "not-run", "ran": "ran", "unknown": "unknown"}[outcome.Name]
	s.refusals = append(s.refusals, [3]string{code.Name, statusOf(cells[1]), said})
}

// statusOf returns the number of a status that is written as a number or as a
// constant of net/http.
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

// call notes the name of a metric that is declared and the fields of a line
// that is logged.
func (s *source) call(call *ast.CallExpr) {
	name := ""
	switch fun := call.Fun.(type) {
	case *ast.Ident:
		name = fun.Name
	case *ast.SelectorExpr:
		name = fun.Sel.Name
	}
	switch name {
	case "Counter", "Histogram", "Gauge", "gauge":
		if metric := text(call.Args[0]); strings.HasPrefix(metric, "kcw_") {
			s.metrics = append(s.metrics, metric)
		}
	case "InfoS":
		s.logged(call.Args[1:])
	case "ErrorS":
		s.logged(call.Args[2:])
	}
}

func (s *source) logged(args []ast.Expr) {
	for i := 0; i < len(args); i += 2 {
		if field := text(args[i]); field != "" {
			s.fields = append(s.fields, field)
		}
	}
}

// text returns the value of a string literal, or "".
func text(expr ast.Expr) string {
	literal, ok := expr.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return ""
	}
	// The parser has accepted the literal.
	value, _ := strconv.Unquote(literal.Value)
	return value
}
