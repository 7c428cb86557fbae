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
	maxProcesses = 4 // processes of one sidecar that are told apart
	readyMarker  = "ready"
)

// Slot is a process's place among those of one sidecar: a locked file in the folder
// that they share. The lock ends with the process, however that ends.
type Slot struct {
	dir   string
	index int
	file  *os.File

	mu    sync.Mutex
	peers [maxProcesses]peerState // by place, as last seen
}

// peerState is another process of the sidecar.
type peerState struct{ alive, ready bool }

func slotPath(dir string, i int) string {
	return filepath.Join(dir, fmt.Sprintf("oakproxy-process.%d", i))
}

// AcquireSlot takes the first place that is free.
func AcquireSlot(dir string) (*Slot, error) {
	for i := range maxProcesses {
		file, err := os.OpenFile(slotPath(dir, i), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return nil, err
		}
		err = system.LockFile(file, syscall.LOCK_EX)
		if err == nil {
			err = file.Truncate(0) // the process before may have said that it was ready
		}
		if err == nil {
			return &Slot{dir: dir, index: i, file: file}, nil
		}
		file.Close()
		if err != syscall.EWOULDBLOCK {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%d processes share %s already", maxProcesses, dir)
}

// MarkReady tells the others that this process serves.
func (s *Slot) MarkReady() error {
	_, err := s.file.WriteAt([]byte(readyMarker), 0)
	return err
}

// Peers counts the other processes, and those of them that serve.
func (s *Slot) Peers() (alive, ready int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range maxProcesses {
		if i == s.index {
			continue
		}
		if seen, err := inspectSlot(slotPath(s.dir, i)); err == nil {
			s.peers[i] = seen // else as it was seen last
		}
		if s.peers[i].alive {
			alive++
		}
		if s.peers[i].ready {
			ready++
		}
	}
	return alive, ready
}

// inspectSlot tells who sits at a place. An error says that this can't be told for the moment.
func inspectSlot(path string) (peerState, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return peerState{}, nil // nobody ever sat there
	}
	if err != nil {
		return peerState{}, err
	}
	defer file.Close()
	switch err := system.LockFile(file, syscall.LOCK_SH); err {
	case nil:
		return peerState{}, nil
	case syscall.EWOULDBLOCK:
	default:
		return peerState{}, err
	}
	text := make([]byte, len(readyMarker))
	n, err := file.ReadAt(text, 0)
	if err != nil && err != io.EOF {
		return peerState{}, err
	}
	return peerState{alive: true, ready: string(text[:n]) == readyMarker}, nil
}

// Release gives the place up, as the end of the process would.
func (s *Slot) Release() { s.file.Close() }
