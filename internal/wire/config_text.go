package wire

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"oakproxy/balancer"
)

// settingsText contains the key-value pairs of a settings text and the first error in them. A method that finds an
// absent or invalid value returns a default value, so callers need to check for an error only after the last key.
type settingsText struct {
	values map[string]string // values by key
	err    error             // the first error; nil if there is none
}

// splitSettingsText splits a settings text into its key-value pairs. Each line has the form key=value; empty lines are
// skipped.
func splitSettingsText(text string) (*settingsText, error) {
	t := &settingsText{values: map[string]string{}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		key, value, found := strings.Cut(line, "=")
		if !found {
			return nil, &balancer.SettingError{Key: fmt.Sprintf("line %d", i+1), Value: line,
				Reason: "not of the form key=value"}
		}
		t.values[key] = value
	}
	return t, nil
}

// fail sets the error to a *balancer.SettingError, unless an error is already set.
func (t *settingsText) fail(key, value, reason string) {
	if t.err == nil {
		t.err = &balancer.SettingError{Key: key, Value: value, Reason: reason}
	}
}

// require sets the error if a key is absent.
func (t *settingsText) require(key string) {
	if _, ok := t.values[key]; !ok {
		t.fail(key, "", "is missing")
	}
}

// parseValue returns the value of a key as parsed by parse, or defaultValue if the key is absent. If parse fails,
// parseValue sets an error that says which values are valid, taken from description, and returns defaultValue.
func parseValue[T any](
	t *settingsText, key string, defaultValue T, description string, parse func(string) (T, error),
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

// text returns the value of a key unchanged, or an empty string if the key is absent.
func (t *settingsText) text(key string) string { return t.values[key] }

func (t *settingsText) number(key string, defaultValue float64) float64 {
	return parseValue(t, key, defaultValue, "a finite number", func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		if err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
			err = strconv.ErrRange
		}
		return value, err
	})
}

func (t *settingsText) integer(key string, defaultValue int64) int64 {
	return parseValue(t, key, defaultValue, "a whole number", func(text string) (int64, error) {
		return strconv.ParseInt(text, 10, 64)
	})
}

// flag returns the boolean value of a key, or false if the key is absent.
func (t *settingsText) flag(key string) bool {
	return parseValue(t, key, false, "true or false", strconv.ParseBool)
}

// enum returns the meaning of the value of a key, or defaultValue if the key is absent. meanings lists the valid values
// of the key and their meanings. For any other value, enum sets an error and returns defaultValue.
func enum[T any](t *settingsText, key string, defaultValue T, meanings map[string]T) T {
	return parseValue(t, key, defaultValue, "one of the known values", func(name string) (T, error) {
		if value, ok := meanings[name]; ok {
			return value, nil
		}
		return defaultValue, strconv.ErrSyntax
	})
}

// itemCount returns the number of items in a comma-separated list, or 0 if the key is absent or its value is empty.
func (t *settingsText) itemCount(key string) int {
	text := t.values[key]
	if text == "" {
		return 0
	}
	return strings.Count(text, ",") + 1
}

// objectCount returns the number of objects in a list, which is the value of the key list+".count", or 0 if that key is
// absent. It sets an error if the number is not between 0 and limit, or if the text has no key for one of the objects.
func (t *settingsText) objectCount(list string, limit int64) int {
	key := list + ".count"
	length := t.integer(key, 0)
	text := strconv.FormatInt(length, 10)
	if length < 0 || length > limit {
		t.fail(key, text, fmt.Sprintf("not in the range 0 to %d", limit))
		return 0
	}
	if i := slices.Index(t.presentObjects(list, length), false); i >= 0 {
		t.fail(key, text, fmt.Sprintf("%s.%d has no keys", list, i))
	}
	return int(length)
}

// presentObjects reports, for each index below length, whether the text has at least one key of the object at this
// index of the list.
func (t *settingsText) presentObjects(list string, length int64) []bool {
	present := make([]bool, length)
	for key := range t.values {
		rest, ok := strings.CutPrefix(key, list+".")
		if !ok {
			continue
		}
		index, _, isObject := strings.Cut(rest, ".")
		if i, err := strconv.ParseUint(index, 10, 32); err == nil && isObject && int64(i) < length {
			present[i] = true
		}
	}
	return present
}
