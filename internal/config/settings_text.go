package config

import (
	"fmt"
	"strconv"
	"strings"
)

// flatten writes a JSON value as settings text, the format that the simulator sends in a begin record and that
// wire.ParseSettings reads. Each value becomes a line path=value. A list of objects becomes a line path.count=N and the
// lines of each object, whose paths contain the index of the object. Any other list becomes one line with commas
// between the items.
func flatten(out *strings.Builder, path string, value any) {
	switch v := value.(type) {
	case nil: // null is equivalent to an absent key
	case map[string]any:
		for key, item := range v {
			flatten(out, joinPath(path, key), item)
		}
	case []any:
		if len(v) > 0 {
			if _, objects := v[0].(map[string]any); objects {
				fmt.Fprintf(out, "%s=%d\n", joinPath(path, "count"), len(v))
				for i, item := range v {
					flatten(out, joinPath(path, strconv.Itoa(i)), item)
				}
				return
			}
		}
		items := make([]string, len(v))
		for i, item := range v {
			items[i] = scalar(item)
		}
		fmt.Fprintf(out, "%s=%s\n", path, strings.Join(items, ","))
	default:
		fmt.Fprintf(out, "%s=%s\n", path, scalar(v))
	}
}

// joinPath returns the path of a key in the object at path, which is empty for the top-level object.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// separatorReplacer replaces spaces and the characters that would end a value in the settings text.
var separatorReplacer = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

// scalar returns the settings text of a value that is neither a list nor an object.
func scalar(v any) string { return separatorReplacer.Replace(fmt.Sprint(v)) }
