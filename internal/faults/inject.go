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

// FileOperation names an operation of system.FileOps.
type FileOperation string

// The operations on files that can be made to fail.
const (
	Read   FileOperation = "read"
	Write  FileOperation = "write"
	Sync   FileOperation = "sync"
	Rename FileOperation = "rename"
)

// Injection is the set of faults that a test injects into the disk and the wall clock of a process. The zero Injection
// injects none. The test stores it in a file that the process reads at each call, see Inject.
type Injection struct {
	WallClockStep time.Duration // added to the wall clock; may be negative
	FailOperation FileOperation // that fails; none if empty
	Errno         syscall.Errno // with which it fails
}

// Store puts an injection in force: every call of the process that comes after Store obeys it.
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

// loadInjection reads the injection in force. Without a readable one there is none.
func loadInjection(path string) Injection {
	var i Injection
	text, err := os.ReadFile(path)
	if err != nil || json.Unmarshal(text, &i) != nil {
		return Injection{}
	}
	return i
}

// Inject replaces the file operations and the wall clock of a host by ones that obey the injection stored at path.
func Inject(host *config.Host, path string) {
	files := &faultyFiles{injection: path, native: system.FileOps{}.WithDefaults()}
	host.Files = system.FileOps{Read: files.read, Write: files.write, Sync: files.sync, Rename: files.rename}
	host.Time.Wall = func() time.Time { return time.Now().Add(loadInjection(path).WallClockStep) }
}

// faultyFiles are file operations of which one may fail.
type faultyFiles struct {
	injection string // path of the injection in force
	native    system.FileOps
}

// fail returns the error of an operation on a file, if one is injected.
func (f *faultyFiles) fail(operation FileOperation, path string) error {
	if i := loadInjection(f.injection); i.FailOperation == operation {
		return &os.PathError{Op: string(operation), Path: path, Err: i.Errno}
	}
	return nil
}

func (f *faultyFiles) read(file *os.File, maxBytes int64) ([]byte, error) {
	if err := f.fail(Read, file.Name()); err != nil {
		return nil, err
	}
	return f.native.Read(file, maxBytes)
}

// write writes the first half of the text before it fails, as a disk does that runs full.
func (f *faultyFiles) write(file *os.File, text []byte) error {
	if err := f.fail(Write, file.Name()); err != nil {
		if writeErr := f.native.Write(file, text[:len(text)/2]); writeErr != nil {
			return errors.Join(err, writeErr)
		}
		return err
	}
	return f.native.Write(file, text)
}

func (f *faultyFiles) sync(file *os.File) error {
	if err := f.fail(Sync, file.Name()); err != nil {
		return err
	}
	return f.native.Sync(file)
}

func (f *faultyFiles) rename(from, to string) error {
	if err := f.fail(Rename, from); err != nil {
		return err
	}
	return f.native.Rename(from, to)
}
