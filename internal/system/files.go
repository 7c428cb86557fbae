package system

import (
	"errors"
	"io"
	"os"
)

// FileOps are the file operations that may fail temporarily, for example on a disk that is full or has errors.
// WithDefaults sets each field that is nil to the operation of the operating system. Tests replace operations to inject
// faults.
type FileOps struct {
	Read   func(file *os.File, maxBytes int64) ([]byte, error) // reads at most maxBytes bytes, up to the end of the file
	Write  func(file *os.File, data []byte) error              // writes all of data
	Sync   func(file *os.File) error                           // flushes the written data to disk
	Rename func(from, to string) error                         // atomically renames a file, replacing one at the new path
}

// WithDefaults returns a copy of the operations in which the system's operations replace the fields that are nil.
func (o FileOps) WithDefaults() FileOps {
	if o.Read == nil {
		o.Read = func(file *os.File, maxBytes int64) ([]byte, error) { return io.ReadAll(io.LimitReader(file, maxBytes)) }
	}
	if o.Write == nil {
		o.Write = func(file *os.File, data []byte) error {
			_, err := file.Write(data)
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

// ReadFile returns at most the first maxBytes bytes of a file, and the os.FileInfo of the file that they come from. All
// fields of o must be set (see WithDefaults). An error is either an *fs.PathError or the error of o.Read.
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
	data, err := o.Read(file, maxBytes)
	return data, info, err
}

// ReplaceFile replaces the contents of a file atomically: a reader sees either all of the old contents or all of the
// new ones, even if this process is killed at any moment. If durable is true, the new contents are on disk before
// ReplaceFile renames the file. ReplaceFile first writes to temporaryPath, which only one process may use at a time,
// and overwrites a file that a killed process has left there. All fields of o must be set (see WithDefaults).
func (o FileOps) ReplaceFile(path, temporaryPath string, data []byte, durable bool) error {
	file, err := os.OpenFile(temporaryPath, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	err = o.Write(file, data)
	if err == nil && durable {
		err = o.Sync(file)
	}
	if err = errors.Join(err, file.Close()); err == nil {
		err = o.Rename(temporaryPath, path)
	}
	if err != nil {
		os.Remove(temporaryPath)
	}
	return err
}
