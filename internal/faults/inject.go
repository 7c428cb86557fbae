package faults

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"oakproxy/internal/config"
	"oakproxy/internal/system"
)

// FileOperation is the name of an operation of system.FileOps.
type FileOperation string

// The file operations that an Injection can make fail.
const (
	Read   FileOperation = "read"
	Write  FileOperation = "write"
	Sync   FileOperation = "sync"
	Rename FileOperation = "rename"
)

// Injection is the set of faults that a test injects into the file operations and the wall clock of a process. The zero
// Injection injects none. The test stores it in a file, which the process reads at each file operation and at each
// reading of the wall clock; see Inject.
type Injection struct {
	WallClockStep time.Duration // duration added to the wall clock; may be negative
	FailOperation FileOperation // operation that fails; none if empty
	Errno         syscall.Errno // error of the operation that fails
}

// Store writes the injection to path. It applies to every file operation and reading of the wall clock that the process
// starts after Store has returned.
func (i Injection) Store(path string) error {
	text, err := json.Marshal(i)
	if err != nil {
		return fmt.Errorf("encode the injection: %w", err)
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return fmt.Errorf("store the injection: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("store the injection: %w", err)
	}
	return nil
}

// loadInjection reads the injection stored at path. It returns the zero Injection if the file is missing or invalid.
func loadInjection(path string) Injection {
	var i Injection
	text, err := os.ReadFile(path)
	if err != nil || json.Unmarshal(text, &i) != nil {
		return Injection{}
	}
	return i
}

// Inject replaces the file operations and the wall clock of host. The replacements apply the injection stored at path.
func Inject(host *config.Host, path string) {
	files := &faultyFiles{injection: path, native: system.FileOps{}.WithDefaults()}
	host.Files = system.FileOps{Read: files.read, Write: files.write, Sync: files.sync, Rename: files.rename}
	host.Time.Wall = func() time.Time { return time.Now().Add(loadInjection(path).WallClockStep) }
}

// faultyFiles provides the file operations of the operating system, except that the stored injection may make one of
// them fail.
type faultyFiles struct {
	injection string         // path of the stored injection
	native    system.FileOps // operations of the operating system
}

// injectedError returns the error that is injected into operation, or nil. path is the file named in the error.
func (f *faultyFiles) injectedError(operation FileOperation, path string) error {
	if i := loadInjection(f.injection); i.FailOperation == operation {
		return &os.PathError{Op: string(operation), Path: path, Err: i.Errno}
	}
	return nil
}

func (f *faultyFiles) read(file *os.File, maxBytes int64) ([]byte, error) {
	if err := f.injectedError(Read, file.Name()); err != nil {
		return nil, err
	}
	return f.native.Read(file, maxBytes)
}

// write writes the first half of text before an injected failure, as on a disk that becomes full.
func (f *faultyFiles) write(file *os.File, text []byte) error {
	if err := f.injectedError(Write, file.Name()); err != nil {
		if writeErr := f.native.Write(file, text[:len(text)/2]); writeErr != nil {
			return errors.Join(err, writeErr)
		}
		return err
	}
	return f.native.Write(file, text)
}

func (f *faultyFiles) sync(file *os.File) error {
	if err := f.injectedError(Sync, file.Name()); err != nil {
		return err
	}
	return f.native.Sync(file)
}

func (f *faultyFiles) rename(from, to string) error {
	if err := f.injectedError(Rename, from); err != nil {
		return err
	}
	return f.native.Rename(from, to)
}
