package sidecartest

import (
	"os"
	"sync"

	"oakproxy/internal/system"
)

// FaultyDisk is a source of file operations one of which fails, until the disk is mended.
type FaultyDisk struct {
	mu        sync.Mutex
	operation string // that fails
	err       error  // with which it does; nil: none fails
}

// Fail makes an operation, one of "read", "write", "sync" and "rename", return an error that wraps err. It replaces the
// previous fault.
func (d *FaultyDisk) Fail(operation string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.operation, d.err = operation, err
}

// Repair ends the fault.
func (d *FaultyDisk) Repair() { d.Fail("", nil) }

// fault returns the error of an operation, or nil.
func (d *FaultyDisk) fault(operation string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if operation != d.operation {
		return nil
	}
	return d.err
}

// FileOps returns the operations of this disk. A write that fails has written one half.
func (d *FaultyDisk) FileOps() system.FileOps {
	native := system.FileOps{}.OrSystem()
	return system.FileOps{
		Read: func(file *os.File, maxBytes int64) ([]byte, error) {
			if err := d.fault("read"); err != nil {
				return nil, &os.PathError{Op: "read", Path: file.Name(), Err: err}
			}
			return native.Read(file, maxBytes)
		},
		Write: func(file *os.File, text []byte) error {
			if err := d.fault("write"); err != nil {
				native.Write(file, text[:len(text)/2])
				return &os.PathError{Op: "write", Path: file.Name(), Err: err}
			}
			return native.Write(file, text)
		},
		Sync: func(file *os.File) error {
			if err := d.fault("sync"); err != nil {
				return &os.PathError{Op: "sync", Path: file.Name(), Err: err}
			}
			return native.Sync(file)
		},
		Rename: func(from, to string) error {
			if err := d.fault("rename"); err != nil {
				return &os.LinkError{Op: "rename", Old: from, New: to, Err: err}
			}
			return native.Rename(from, to)
		},
	}
}
