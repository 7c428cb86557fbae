package system

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"syscall"
)

// FileOps are the operations on files that may fail for a while: a disk is full, or has errors. The zero value is that
// of the system.
type FileOps struct {
	Read   func(file *os.File, most int64) ([]byte, error)
	Write  func(file *os.File, text []byte) error
	Sync   func(file *os.File) error
	Rename func(from, to string) error
}

// OrSystem returns the operations with the system's in place of those that are not set.
func (o FileOps) OrSystem() FileOps {
	if o.Read == nil {
		o.Read = func(file *os.File, most int64) ([]byte, error) { return io.ReadAll(io.LimitReader(file, most)) }
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

// ReadFile reads a file, up to maxBytes of it, and returns which one it was.
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

// ReplaceFile puts a file in place of another at once: nobody reads a part of it, whenever this process is ended. It
// is on the disk by then where it is to be durable. One process at a time may write by way of a temporary name; what
// one that was killed has left there is written over.
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

// IsReadError reports whether a file could not be read, though it may be there and whole.
func IsReadError(err error) bool {
	var path *fs.PathError
	var errno syscall.Errno
	return err != nil && !errors.Is(err, fs.ErrNotExist) && (errors.As(err, &path) || errors.As(err, &errno))
}
