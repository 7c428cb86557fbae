package faults

import (
	"encoding/json"
	"os"
	"syscall"
	"time"

	"oakproxy/internal/config"
	"oakproxy/internal/system"
)

// Order is what a test orders of the shims of a process: the text of a file that they read at each call, in JSON.
type Order struct {
	StepMS int64  // of the wall clock, either way
	Fail   string // the operation on files that fails: read, write, sync, rename or none
	Errno  int    // with which error
}

// Give puts an order in force, at once for all that come after it.
func (o Order) Give(path string) error {
	text, err := json.Marshal(o)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Shim puts shims into a host of a sidecar, which obey the orders in a file. Without the file they do nothing.
func Shim(host *config.Host, path string) {
	order := func() (o Order) {
		if text, err := os.ReadFile(path); err == nil {
			json.Unmarshal(text, &o)
		}
		return o
	}
	fault := func(operation, path string) error {
		if o := order(); o.Fail == operation {
			return &os.PathError{Op: operation, Path: path, Err: syscall.Errno(o.Errno)}
		}
		return nil
	}
	native := system.FileOps{}.OrSystem()
	host.Files = system.FileOps{
		Read: func(file *os.File, most int64) ([]byte, error) {
			if err := fault("read", file.Name()); err != nil {
				return nil, err
			}
			return native.Read(file, most)
		},
		Write: func(file *os.File, text []byte) error {
			if err := fault("write", file.Name()); err != nil {
				native.Write(file, text[:len(text)/2]) // a full disk takes a part
				return err
			}
			return native.Write(file, text)
		},
		Sync: func(file *os.File) error {
			if err := fault("sync", file.Name()); err != nil {
				return err
			}
			return native.Sync(file)
		},
		Rename: func(from, to string) error {
			if err := fault("rename", from); err != nil {
				return err
			}
			return native.Rename(from, to)
		},
	}
	host.Time.Wall = func() time.Time { return time.Now().Add(time.Duration(order().StepMS) * time.Millisecond) }
}
