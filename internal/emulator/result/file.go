package result

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// Append appends a run to a result file as one line of JSON. It creates the file if it does not exist.
func Append(path string, run *Run) error {
	line, err := json.Marshal(run)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	_, err = file.Write(append(line, '\n'))
	return errors.Join(err, file.Close())
}

// Read reads all runs of a result file. An error names the file and, if a run is malformed, its number from 1.
func Read(path string) ([]*Run, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	decoder := json.NewDecoder(bufio.NewReader(file))
	var runs []*Run
	for {
		var run Run
		err := decoder.Decode(&run)
		if errors.Is(err, io.EOF) {
			return runs, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: run %d: %w", path, len(runs)+1, err)
		}
		runs = append(runs, &run)
	}
}
