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

// policyFiles returns the names of the files that deploy/balancer.toml lists as the decision logic.
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
		t.Fatal("no policy files found in deploy/balancer.toml")
	}
	return files
}

// maxPolicyLines limits the number of non-blank lines of a policy file, to keep each file to one purpose.
const maxPolicyLines = 220

// Each policy file observes the limits on its number of lines and their length.
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
				t.Errorf("%s: line %d has %d bytes, want at most 110", name, i+1, len(line))
			}
		}
		if lines > maxPolicyLines {
			t.Errorf("%s: got %d non-blank lines, want at most %d", name, lines, maxPolicyLines)
		}
	}
}

// The package comment names every policy file and the files of the interface to the host.
func TestModuleDocumentation(t *testing.T) {
	text, err := os.ReadFile("balancer.go")
	if err != nil {
		t.Fatal(err)
	}
	documentation, _, _ := strings.Cut(string(text), "\npackage ")
	for _, name := range append(policyFiles(t), "settings.go", "events.go", "actions.go") {
		if !strings.Contains(documentation, name) {
			t.Errorf("the package comment in balancer.go does not name %s", name)
		}
	}
}

// The package does no I/O and reads no clock, so it imports only the standard packages in the set allowed.
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
				t.Errorf("%s imports %s, which is not permitted in this package", name, i.Path.Value)
			}
		}
	}
}
