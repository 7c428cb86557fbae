package result

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// Every recorded run can be read, and is written again with the same JSON keys and values. A renamed key would make
// result files of earlier versions unreadable.
func TestRecordedRunsKeepTheirJSONKeys(t *testing.T) {
	files, err := filepath.Glob("../../../docs/capacity/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("found the result files %q, error %v, want at least one file", files, err)
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
				t.Fatalf("%s: a run is not valid JSON: read\n%s\nwritten as\n%s", file, line, again)
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("%s: a run is written as\n%s\nwant\n%s", file, again, line)
			}
		}
	}
}
