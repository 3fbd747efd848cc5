package logline

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// sourceDirs are the directories with code that logs, relative to this one.
var sourceDirs = []string{"..", "../../cmd", "../../platform"}

// The table lists each logged message once, and no message that is not logged.
func TestTableHasEachMessage(t *testing.T) {
	listed := map[string]bool{}
	for _, r := range Rows() {
		if listed[r.Message] {
			t.Errorf("%q is listed twice", r.Message)
		}
		listed[r.Message] = true
		if r.Process == "" || r.Meaning == "" || r.Action == "" {
			t.Errorf("%q has an empty column", r.Message)
		}
	}
	logged, literals := loggedMessages(t)
	for message, file := range logged {
		if !listed[message] {
			t.Errorf("%s logs %q, which is not in the table", file, message)
		}
	}
	for message := range listed {
		if !literals[message] {
			t.Errorf("%q is in the table, but no program logs it", message)
		}
	}
}

// loggedMessages returns the messages that are logged as string literals, each with a file that logs it,
// and all string literals of the source. Messages in variables are among the latter.
func loggedMessages(t *testing.T) (logged map[string]string, literals map[string]bool) {
	t.Helper()
	logged, literals = map[string]string{}, map[string]bool{}
	forEachSourceFile(t, func(path string, f *ast.File) {
		ast.Inspect(f, func(n ast.Node) bool {
			if text, ok := stringLiteral(n); ok {
				literals[text] = true
			}
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) < 2 {
				return true
			}
			if key, ok := stringLiteral(call.Args[0]); !ok || key != "msg" {
				return true
			}
			if message, ok := stringLiteral(call.Args[1]); ok {
				logged[message] = path
			}
			return true
		})
	})
	return logged, literals
}

// stringLiteral returns the value of a string literal. For a log line that is formatted by hand, it
// returns the value of "msg" in it.
func stringLiteral(n ast.Node) (string, bool) {
	l, ok := n.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(l.Value)
	if err != nil {
		return "", false
	}
	if _, after, found := strings.Cut(text, `"msg":"`); found {
		text, _, _ = strings.Cut(after, `"`)
	}
	return text, true
}

// forEachSourceFile calls f for each source file except tests and this package.
func forEachSourceFile(t *testing.T, f func(path string, file *ast.File)) {
	t.Helper()
	for _, root := range sourceDirs {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "logline") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			f(path, file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
