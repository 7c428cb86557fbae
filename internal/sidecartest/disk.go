package sidecartest

import (
	"os"
	"sync"

	"oakproxy/internal/system"
)

// DiskOperation is an operation of a FaultyDisk that a test can make fail.
type DiskOperation string

// Operations of a FaultyDisk.
const (
	DiskRead   DiskOperation = "read"
	DiskWrite  DiskOperation = "write"
	DiskSync   DiskOperation = "sync"
	DiskRename DiskOperation = "rename"
)

// FaultyDisk provides file operations. A test can make one of them fail until it calls Repair.
type FaultyDisk struct {
	mu      sync.Mutex
	failing DiskOperation // the operation that fails; "" if none does
	err     error         // cause of the failure; nil if no operation fails
}

// Fail makes an operation return an error that wraps err. It replaces the previous fault.
func (d *FaultyDisk) Fail(operation DiskOperation, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing, d.err = operation, err
}

// Repair makes all operations succeed again.
func (d *FaultyDisk) Repair() { d.Fail("", nil) }

// fault returns the cause of an operation's failure, or nil if the operation succeeds.
func (d *FaultyDisk) fault(operation DiskOperation) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if operation != d.failing {
		return nil
	}
	return d.err
}

// FileOps returns the file operations of this disk. A failing write still writes the first half of its text.
func (d *FaultyDisk) FileOps() system.FileOps {
	native := system.FileOps{}.WithDefaults()
	return system.FileOps{
		Read: func(file *os.File, maxBytes int64) ([]byte, error) {
			if err := d.fault(DiskRead); err != nil {
				return nil, &os.PathError{Op: string(DiskRead), Path: file.Name(), Err: err}
			}
			return native.Read(file, maxBytes)
		},
		Write: func(file *os.File, text []byte) error {
			if err := d.fault(DiskWrite); err != nil {
				native.Write(file, text[:len(text)/2])
				return &os.PathError{Op: string(DiskWrite), Path: file.Name(), Err: err}
			}
			return native.Write(file, text)
		},
		Sync: func(file *os.File) error {
			if err := d.fault(DiskSync); err != nil {
				return &os.PathError{Op: string(DiskSync), Path: file.Name(), Err: err}
			}
			return native.Sync(file)
		},
		Rename: func(from, to string) error {
			if err := d.fault(DiskRename); err != nil {
				return &os.LinkError{Op: string(DiskRename), Old: from, New: to, Err: err}
			}
			return native.Rename(from, to)
		},
	}
}
