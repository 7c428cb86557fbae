package result

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// Result files of earlier versions are read, and written again under the same keys.
func TestRecordedRunsKeepTheirJSONKeys(t *testing.T) {
	files, err := filepath.Glob("../../../docs/capacity/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("files %q, %v", files, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for line := range bytes.Lines(text) {
			var run Run
			decoder := json.NewDecoder(bytes.NewReader(line))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(&run); err != nil {
				t.Fatalf("%s: %v", file, err)
			}
			again, err := json.Marshal(run)
			if err != nil {
				t.Fatal(err)
			}
			var want, got any
			if json.Unmarshal(line, &want) != nil || json.Unmarshal(again, &got) != nil {
				t.Fatal("not JSON")
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("%s: a run is written as\n%s\nwas\n%s", file, again, line)
			}
		}
	}
}
