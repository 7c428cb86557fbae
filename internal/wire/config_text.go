package wire

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"oakproxy/balancer"
)

// configText holds the pairs of a settings text and the first error met while reading them. Reading goes on after an
// error, with the default value, so that the callers need no check after each key.
type configText struct {
	values map[string]string
	err    error
}

// splitConfigText splits a settings text into its pairs, one a line. Empty lines are skipped.
func splitConfigText(text string) (*configText, error) {
	t := &configText{values: map[string]string{}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, &balancer.SettingError{Key: fmt.Sprintf("line %d", i+1), Value: line,
				Reason: "not of the form path=value"}
		}
		t.values[key] = value
	}
	return t, nil
}

// fail records an error, unless one came before.
func (t *configText) fail(key, value, reason string) {
	if t.err == nil {
		t.err = &balancer.SettingError{Key: key, Value: value, Reason: reason}
	}
}

// require fails if a key is absent.
func (t *configText) require(key string) {
	if _, ok := t.values[key]; !ok {
		t.fail(key, "", "is missing")
	}
}

// valueOf returns the parsed value of a key, or the default if the key is absent. A value that does not parse fails,
// with the description of those that would.
func valueOf[T any](
	t *configText, key string, defaultValue T, description string, parse func(string) (T, error),
) T {
	text, ok := t.values[key]
	if !ok {
		return defaultValue
	}
	value, err := parse(text)
	if err != nil {
		t.fail(key, text, "not "+description)
		return defaultValue
	}
	return value
}

// text returns the value of a key as it stands, or nothing if the key is absent.
func (t *configText) text(key string) string { return t.values[key] }

func (t *configText) number(key string, defaultValue float64) float64 {
	return valueOf(t, key, defaultValue, "a finite number", func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		if err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
			err = strconv.ErrRange
		}
		return value, err
	})
}

func (t *configText) integer(key string, defaultValue int64) int64 {
	return valueOf(t, key, defaultValue, "a whole number", func(text string) (int64, error) {
		return strconv.ParseInt(text, 10, 64)
	})
}

// flag returns a truth value, which is false if the key is absent.
func (t *configText) flag(key string) bool {
	return valueOf(t, key, false, "true or false", strconv.ParseBool)
}

// enum returns the meaning of a name. A name that is not among meanings fails.
func enum[T any](t *configText, key string, defaultValue T, meanings map[string]T) T {
	return valueOf(t, key, defaultValue, "a known word", func(name string) (T, error) {
		if value, ok := meanings[name]; ok {
			return value, nil
		}
		return defaultValue, strconv.ErrSyntax
	})
}

// items returns the number of comma-separated items of a list of plain values.
func (t *configText) items(key string) int {
	text := t.values[key]
	if text == "" {
		return 0
	}
	return strings.Count(text, ",") + 1
}

// objects returns the length of a list of objects, which is at most limit. Each object must have a key at least.
func (t *configText) objects(list string, limit int64) int {
	key := list + ".count"
	length := t.integer(key, 0)
	text := strconv.FormatInt(length, 10)
	if length < 0 || length > limit {
		t.fail(key, text, fmt.Sprintf("out of range, 0 to %d", limit))
		return 0
	}
	if i := slices.Index(t.present(list, length), false); i >= 0 {
		t.fail(key, text, fmt.Sprintf("%s.%d is missing", list, i))
	}
	return int(length)
}

// present returns which objects of a list of this length have a key.
func (t *configText) present(list string, length int64) []bool {
	present := make([]bool, length)
	for key := range t.values {
		path, ok := strings.CutPrefix(key, list+".")
		if !ok {
			continue
		}
		number, _, isObject := strings.Cut(path, ".")
		if i, err := strconv.ParseUint(number, 10, 32); err == nil && isObject && int64(i) < length {
			present[i] = true
		}
	}
	return present
}
