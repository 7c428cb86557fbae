package system

import (
	"errors"
	"io"
	"os"
)

// FileOps are the file operations that may fail for a while, such as on a disk that is full or has errors. A nil field
// stands for the system's operation; OrSystem fills it in. Tests inject faults here.
type FileOps struct {
	Read   func(file *os.File, maxBytes int64) ([]byte, error) // reads to the end, or maxBytes
	Write  func(file *os.File, text []byte) error              // writes all of text
	Sync   func(file *os.File) error                           // puts what was written on disk
	Rename func(from, to string) error                         // replaces to in one step
}

// OrSystem returns the operations with the system's in place of those that are not set.
func (o FileOps) OrSystem() FileOps {
	if o.Read == nil {
		o.Read = func(file *os.File, maxBytes int64) ([]byte, error) { return io.ReadAll(io.LimitReader(file, maxBytes)) }
	}
	if o.Write == nil {
		o.Write = func(file *os.File, text []byte) error {
			_, err := file.Write(text)
			return err
		}
	}
	if o.Sync == nil {
		o.Sync = (*os.File).Sync
	}
	if o.Rename == nil {
		o.Rename = os.Rename
	}
	return o
}

// ReadFile returns up to maxBytes of a file, and which file they are from. All operations must be set. The error is an
// fs.PathError, or that of Read.
func (o FileOps) ReadFile(path string, maxBytes int64) ([]byte, os.FileInfo, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, nil, err
	}
	text, err := o.Read(file, maxBytes)
	return text, info, err
}

// ReplaceFile replaces the contents of a file in one step: a reader sees all of the old or all of the new ones,
// whenever this process is killed. If durable, the new ones are on disk when it returns. It writes to the temporary
// name first, which only one process at a time may use; a file that a killed process left there is overwritten. All
// operations must be set.
func (o FileOps) ReplaceFile(path, temporary string, text []byte, durable bool) error {
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	err = o.Write(file, text)
	if err == nil && durable {
		err = o.Sync(file)
	}
	if err = errors.Join(err, file.Close()); err == nil {
		err = o.Rename(temporary, path)
	}
	if err != nil {
		os.Remove(temporary)
	}
	return err
}
