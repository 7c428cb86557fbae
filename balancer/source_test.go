package balancer

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// policyFiles returns the files that deploy/balancer.toml names as the decision logic.
func policyFiles(t *testing.T) []string {
	t.Helper()
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, list, _ := strings.Cut(string(deploy), "policy = [")
	list, _, _ = strings.Cut(list, "]")
	var files []string
	for _, match := range regexp.MustCompile(`"balancer/([a-z]+\.go)"`).FindAllStringSubmatch(list, -1) {
		files = append(files, match[1])
	}
	if len(files) == 0 {
		t.Fatal("the deploy file names no policy files")
	}
	return files
}

// maxPolicyLines limits the non-blank lines of one policy file: each has one job.
const maxPolicyLines = 220

// Each file of the decision module keeps the limits on its size.
func TestModuleSize(t *testing.T) {
	for _, name := range policyFiles(t) {
		lines := 0
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if len(line) > 110 {
				t.Errorf("%s: line %d has %d characters, want 110 at most", name, i+1, len(line))
			}
		}
		if lines > maxPolicyLines {
			t.Errorf("%s: %d non-blank lines, want %d at most", name, lines, maxPolicyLines)
		}
	}
}

// The package's documentation names every policy file and the files of its interface.
func TestModuleDocumentation(t *testing.T) {
	text, err := os.ReadFile("balancer.go")
	if err != nil {
		t.Fatal(err)
	}
	documentation, _, _ := strings.Cut(string(text), "\npackage ")
	for _, name := range append(policyFiles(t), "settings.go", "events.go", "actions.go") {
		if !strings.Contains(documentation, name) {
			t.Errorf("the package comment does not name %s", name)
		}
	}
}

func TestModuleImports(t *testing.T) {
	allowed := map[string]bool{`"fmt"`: true, `"math"`: true, `"slices"`: true, `"strconv"`: true}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range f.Imports {
			if !allowed[i.Path.Value] {
				t.Errorf("%s imports %s", name, i.Path.Value)
			}
		}
	}
}
