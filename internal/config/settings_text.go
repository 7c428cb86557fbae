package config

import (
	"fmt"
	"strconv"
	"strings"
)

// flatten writes a JSON value in the form of the settings in the simulator's first message, which wire.ParseSettings
// reads: a path=value line for each value, with a count and an index for lists of objects, and commas in other lists.
func flatten(out *strings.Builder, path string, value any) {
	switch v := value.(type) {
	case nil: // the same as no such key
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

// joinPath returns the path of a key below path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// separatorReplacer replaces what would end a value of the settings text.
var separatorReplacer = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

// scalar returns a value that is no list or object in the form of the settings text.
func scalar(v any) string { return separatorReplacer.Replace(fmt.Sprint(v)) }
