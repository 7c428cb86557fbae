package play

import (
	"os"
	"path/filepath"
	"time"

	"oakproxy/internal/emulator/fleet"
)

// configPath returns the path of a sidecar's configuration file.
func (r *runner) configPath(s fleet.Sidecar) string { return filepath.Join(r.scratch, s.Name+".json") }

// writeConfig atomically replaces a sidecar's file by the current version of its configuration, and returns
// the file's size.
func (r *runner) writeConfig(s fleet.Sidecar, listen string) (int, error) {
	text, err := r.configurations.Encode(s, listen, r.version)
	if err != nil {
		return 0, err
	}
	path := r.configPath(s)
	temporary := path + ".next"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return 0, err
	}
	return len(text), os.Rename(temporary, path)
}

// writeConfigs replaces all configuration files.
func (r *runner) writeConfigs() (*rollout, error) {
	change := &rollout{startedAt: time.Now(), replacedAt: map[string]time.Time{}}
	replace := func(s fleet.Sidecar, listen string) error {
		size, err := r.writeConfig(s, listen)
		change.bytes += int64(size)
		change.replacedAt[s.Name] = time.Now()
		return err
	}
	for _, s := range r.real {
		if err := replace(s.Sidecar, s.listen); err != nil {
			return nil, err
		}
	}
	for _, group := range r.simulated {
		for _, s := range group {
			if err := replace(s, simulatedListen); err != nil {
				return nil, err
			}
		}
	}
	return change, nil
}
