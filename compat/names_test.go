package compat

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/lotuswing/lotuswing/platform"
	"github.com/lotuswing/lotuswing/telemetry"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// balancerPackages are the folders whose code runs in a balancer process.
var balancerPackages = []string{
	"access", "balancer", "bootstrap", "cli", "coord", "detour", "direct", "directory", "fleet", "limits", "link", "node", "platform", "quarantine", "relay", "rollout", "server", "storeclient", "telemetry", "upstream",
}

// sources parses the code of a balancer process, tests left out.
func sources(t *testing.T) []*ast.File {
	t.Helper()
	var files []*ast.File
	set := token.NewFileSet()
	for _, folder := range balancerPackages {
		err := filepath.WalkDir(filepath.Join("..", folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "platformtest") {
				return err
			}
			file, err := parser.ParseFile(set, path, nil, 0)
			files = append(files, file)
			return err
		})
		assert.NilError(t, err)
	}
	return files
}

// literal returns the text of a string literal.
func literal(e ast.Expr) (string, bool) {
	basic, ok := e.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(basic.Value)
	return text, err == nil
}

// calls returns the calls of methods and functions with one of the given names.
func calls(files []*ast.File, names ...string) (found []*ast.CallExpr) {
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			if selector, ok := call.Fun.(*ast.SelectorExpr); ok && slices.Contains(names, selector.Sel.Name) {
				found = append(found, call)
			}
			return true
		})
	}
	return found
}

// sorted returns lines in order, each once.
func sorted(lines []string) string {
	slices.Sort(lines)
	return strings.Join(slices.Compact(lines), "\n") + "\n"
}

// TestLogLines: the lines of a process, with their keys, are what operators
// search for. Lines about requests are those of telemetry.Events.
func TestLogLines(t *testing.T) {
	var lines []string
	for _, call := range calls(sources(t), "Info", "Warn", "Error", "Log") {
		first := slices.IndexFunc(call.Args, func(e ast.Expr) bool { _, ok := literal(e); return ok })
		if first < 0 {
			continue
		}
		message, _ := literal(call.Args[first])
		line := message + ":"
		for i := first + 1; i < len(call.Args); i += 2 {
			if key, ok := literal(call.Args[i]); ok {
				line += " " + key
			}
		}
		lines = append(lines, line)
	}
	golden.Assert(t, sorted(lines), "log-lines.golden")
	golden.Assert(t, telemetry.EventsText(), "log-events.golden")
}

// TestLogFields: keys of the lines about requests.
func TestLogFields(t *testing.T) {
	var keys []string
	for _, call := range calls(sources(t), "Text", "Int", "Float", "Millis", "Bool") {
		if len(call.Args) != 2 {
			continue // of another package, such as rand.Text
		}
		if key, ok := literal(call.Args[0]); ok {
			keys = append(keys, key)
		}
	}
	golden.Assert(t, sorted(keys), "log-fields.golden")
}

// TestMetricNames: names are literals, or formats that are given to Sprintf.
func TestMetricNames(t *testing.T) {
	var names []string
	for _, call := range calls(sources(t), "GetOrRegisterCounter", "GetOrRegisterGauge", "GetOrRegisterTimer", "Sprintf") {
		name, ok := literal(call.Args[0])
		if ok && (strings.Contains(name, "{") || call.Fun.(*ast.SelectorExpr).Sel.Name != "Sprintf") {
			names = append(names, name)
		}
	}
	golden.Assert(t, sorted(names), "metrics.golden")
}

// TestHeaderNames: those that callers and endpoints send and read.
func TestHeaderNames(t *testing.T) {
	var b strings.Builder
	for _, d := range []upstream.Dialect{upstream.Native(), platform.Dialect()} {
		fmt.Fprintf(&b, "request id %q, timeout %q, instance %q and %q, not run %q, signature %q, load %q, team %q, limit %q, warm-up %q, leaving %q\n",
			d.RequestID, d.Timeout, d.Instance, d.InstanceID, d.NotRun, d.Signature, d.Load, d.Team, d.Limit, d.Warmup, d.Leaving)
	}
	golden.Assert(t, b.String(), "headers.golden")
}
