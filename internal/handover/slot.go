package handover

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"oakproxy/internal/system"
)

const (
	// maxProcesses is the number of slots of a sidecar, and so the maximum number of its processes that hold a slot at
	// the same time.
	maxProcesses = 4
	// slotFileFormat is the format of a slot's file name; its argument is the index of the slot. It must not change,
	// because processes of other versions open the file too.
	slotFileFormat = "oakproxy-process.%d"
	// readyMarker is the content of a slot's file once its process is ready. It must not change, because processes of
	// other versions read it.
	readyMarker = "ready"
)

// NoFreeSlotError is the error of AcquireSlot if other processes hold all slots. Match it with errors.As.
type NoFreeSlotError struct {
	Dir string // directory of the slot files
}

// Error returns a message with the number of slots and their directory.
func (e *NoFreeSlotError) Error() string {
	return fmt.Sprintf("all %d process slots in %s are in use", maxProcesses, e.Dir)
}

// errSlotHeld is the error of lockSlotFile if another process holds the slot.
var errSlotHeld = errors.New("another process holds the slot")

// Slot registers a process as one of the processes of a sidecar, by means of a locked file in the directory that they
// share. Its methods are safe for concurrent use, except Release.
type Slot struct {
	dir   string
	index int
	file  *os.File // open and locked while the slot is held

	markMu    sync.Mutex // held while the mark in the file is changed
	withdrawn bool       // whether Withdraw was called; guarded by markMu

	mu    sync.Mutex              // guards peers
	peers [maxProcesses]peerState // last known state of each slot's process; zero for this process's own slot
}

// peerState describes the process that holds a slot. The zero value means that no process holds it.
type peerState struct{ alive, ready bool }

// slotPath returns the path of the slot file with the given index.
func slotPath(dir string, index int) string {
	return filepath.Join(dir, fmt.Sprintf(slotFileFormat, index))
}

// AcquireSlot takes the first free slot in dir, which must exist. If all slots are taken, it returns a
// *NoFreeSlotError; its other errors are those of the file system.
func AcquireSlot(dir string) (*Slot, error) {
	for index := range maxProcesses {
		file, err := lockSlotFile(slotPath(dir, index))
		if err == nil {
			return &Slot{dir: dir, index: index, file: file}, nil
		}
		if !errors.Is(err, errSlotHeld) {
			return nil, err
		}
	}
	return nil, &NoFreeSlotError{Dir: dir}
}

// lockSlotFile opens the slot file at path, locks it and clears it. If another process holds the lock, it returns
// errSlotHeld. The errno EWOULDBLOCK would be ambiguous, because opening or clearing the file may fail with it, too.
func lockSlotFile(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err // not wrapped: it names the path already, and callers use os.IsNotExist, which does not unwrap
	}
	err = system.LockFile(file, syscall.LOCK_EX)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		file.Close()
		return nil, errSlotHeld
	}
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("lock %s: %w", path, err)
	}
	if err := file.Truncate(0); err != nil { // clears the mark of the previous holder
		file.Close()
		return nil, err
	}
	return file, nil
}

// MarkReady tells the other processes that this one accepts clients. It has no effect after Withdraw.
func (s *Slot) MarkReady() error {
	s.markMu.Lock()
	defer s.markMu.Unlock()
	if s.withdrawn {
		return nil
	}
	_, err := s.file.WriteAt([]byte(readyMarker), 0)
	return err
}

// Withdraw tells the other processes that they must not rely on this one any more, because it shuts down. A process must
// call Withdraw before it looks whether others are ready: of two processes that shut down at the same time, neither then
// relies on the other.
func (s *Slot) Withdraw() error {
	s.markMu.Lock()
	defer s.markMu.Unlock()
	s.withdrawn = true
	return s.file.Truncate(0)
}

// Peers returns how many other processes of the sidecar are alive, and how many of those are ready to serve. If a slot
// currently cannot be inspected, its last known state is used.
func (s *Slot) Peers() (alive, ready int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for index := range maxProcesses {
		if index == s.index {
			continue
		}
		if peer, err := inspectSlot(slotPath(s.dir, index)); err == nil {
			s.peers[index] = peer
		}
		if s.peers[index].alive {
			alive++
		}
		if s.peers[index].ready {
			ready++
		}
	}
	return alive, ready
}

// inspectSlot returns the state of the process that holds the slot file at path. An error means that the state is
// currently unknown.
func inspectSlot(path string) (peerState, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return peerState{}, nil // no process has ever held the slot
	}
	if err != nil {
		return peerState{}, err
	}
	defer file.Close() // also releases the shared lock, if it was taken
	err = system.LockFile(file, syscall.LOCK_SH)
	if err == nil {
		return peerState{}, nil // no process holds the slot
	}
	if !errors.Is(err, syscall.EWOULDBLOCK) {
		return peerState{}, fmt.Errorf("lock %s: %w", path, err)
	}
	content := make([]byte, len(readyMarker))
	n, err := file.ReadAt(content, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return peerState{}, err
	}
	return peerState{alive: true, ready: string(content[:n]) == readyMarker}, nil
}

// Release frees the slot, as the end of the process would. The Slot must not be used afterwards.
func (s *Slot) Release() { s.file.Close() }
