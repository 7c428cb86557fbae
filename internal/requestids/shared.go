package requestids

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"oakproxy/internal/system"
)

// fileName is the name of the file that the processes of a sidecar share. It changes with the form of the slots.
const fileName = "oakproxy-requests.1"

// maxFileBytes is the largest file that is accepted.
const maxFileBytes = 64 << 20

// OpenShared returns the registry that the processes of a sidecar share, in a file in dir. The first of them creates it
// with at most maxBytes bytes. An error is one of the file system, or says that the file is not a registry. The memory
// stays mapped until the process ends.
func OpenShared(dir string, maxBytes int, uptime func() time.Duration) (*Registry, error) {
	file, err := os.OpenFile(filepath.Join(dir, fileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close() // the mapping remains
	unlock, err := system.LockFileWait(file)
	if err != nil {
		return nil, fmt.Errorf("lock %s: %w", file.Name(), err)
	}
	defer unlock()
	size, err := prepareFile(file, registryBytes(maxBytes))
	if err != nil {
		return nil, err
	}
	memory, err := syscall.Mmap(int(file.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("map %s: %w", file.Name(), err)
	}
	return &Registry{uptime: uptime, bytes: size, slots: slotsOf(memory)}, nil
}

// prepareFile makes a new file a registry without claims, and returns the size of the file. It writes all bytes: if the
// disk were full when a page of a mapping is first written, the process would be killed.
func prepareFile(file *os.File, size int) (int, error) {
	info, err := file.Stat()
	if err != nil {
		return 0, err
	}
	if info.Size() == 0 {
		if _, err := file.WriteAt(make([]byte, size), 0); err != nil {
			_ = file.Truncate(0) // the error of the write says why there is no registry
			return 0, err
		}
		return size, nil
	}
	existing := int(info.Size())
	if existing > maxFileBytes || registryBytes(existing) != existing {
		return 0, fmt.Errorf("%s has %d bytes, which is not the size of a registry", file.Name(), existing)
	}
	return existing, nil
}
