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
	// maxProcesses is how many processes of one sidecar may have a slot.
	maxProcesses = 4
	// slotFileFormat names the file of a slot by its index. Processes of other versions open it: it is frozen.
	slotFileFormat = "oakproxy-process.%d"
	// readyMarker is the content of the slot's file of a process that serves. It is frozen as well.
	readyMarker = "ready"
)

// NoFreeSlotError is the error of AcquireSlot where other processes hold all slots. Match it by errors.As.
type NoFreeSlotError struct {
	Dir string // the folder of the slots
}

// Error says how many processes share which folder.
func (e *NoFreeSlotError) Error() string {
	return fmt.Sprintf("%d processes share %s already", maxProcesses, e.Dir)
}

// errSlotHeld is the error of lockSlotFile where another process holds the slot.
var errSlotHeld = errors.New("another process holds the slot")

// Slot is a process's place among those of one sidecar: a locked file in the folder that they share. Its methods are
// safe for concurrent use, but for Release.
type Slot struct {
	dir   string
	index int
	file  *os.File // open and locked while the slot is held

	mu    sync.Mutex              // guards peers
	peers [maxProcesses]peerState // by slot, as last seen; the one at index stays empty
}

// peerState is what is known of the process that holds a slot; the zero value says that none does.
type peerState struct{ alive, ready bool }

// slotPath returns the path of the file of a slot.
func slotPath(dir string, index int) string {
	return filepath.Join(dir, fmt.Sprintf(slotFileFormat, index))
}

// AcquireSlot takes the first free slot in dir, which must exist. Where there is none, its error is a *NoFreeSlotError;
// other errors are those of the file system.
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

// lockSlotFile opens a slot's file, locks it and clears it. Its error is errSlotHeld where another process holds the
// lock. That is not matched by the errno: opening and clearing a file may fail with the same one.
func lockSlotFile(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err // names the path, and callers match it by os.IsNotExist, which does not unwrap
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
	if err := file.Truncate(0); err != nil { // the process before may have marked itself ready
		file.Close()
		return nil, err
	}
	return file, nil
}

// MarkReady notifies the other processes that this one serves.
func (s *Slot) MarkReady() error {
	_, err := s.file.WriteAt([]byte(readyMarker), 0)
	return err
}

// Peers returns how many other processes of the sidecar are alive, and how many of those serve. A slot that cannot be
// inspected for the moment counts as it was seen last.
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

// inspectSlot returns the state of the process that holds a slot. An error says that it cannot be told for the moment.
func inspectSlot(path string) (peerState, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return peerState{}, nil // no process has ever held the slot
	}
	if err != nil {
		return peerState{}, err
	}
	defer file.Close() // and with it the lock
	err = system.LockFile(file, syscall.LOCK_SH)
	if err == nil {
		return peerState{}, nil // nobody else holds the lock
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

// Release gives the slot up, as the end of the process does. The slot is not used afterwards.
func (s *Slot) Release() { s.file.Close() }
