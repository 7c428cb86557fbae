package sidecartest

import (
	"os"
	"sync"

	"oakproxy/internal/system"
)

// FaultyDisk fails the operations that a test names, until it is mended.
type FaultyDisk struct {
	mu   sync.Mutex
	with map[string]error // by operation
}

func (d *FaultyDisk) Fail(operation string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.with = map[string]error{operation: err}
}

func (d *FaultyDisk) Mend() { d.Fail("", nil) }

func (d *FaultyDisk) fault(operation string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.with[operation]
}

// FileOps are the operations of this disk. A write that fails has written a half.
func (d *FaultyDisk) FileOps() system.FileOps {
	native := system.FileOps{}.OrSystem()
	return system.FileOps{
		Read: func(file *os.File, most int64) ([]byte, error) {
			if err := d.fault("read"); err != nil {
				return nil, &os.PathError{Op: "read", Path: file.Name(), Err: err}
			}
			return native.Read(file, most)
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
