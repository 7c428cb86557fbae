package play

import (
	"os"
	"path/filepath"
	"time"

	"oakproxy/internal/emulator/fleet"
)

// configPath returns the path of a sidecar's configuration file.
func (r *runner) configPath(s fleet.Sidecar) string { return filepath.Join(r.scratch, s.Name+".json") }

// writeConfig atomically replaces a sidecar's configuration file with the current version of its configuration. The
// sidecar is to listen on the given address. writeConfig returns the file's size in bytes.
func (r *runner) writeConfig(s fleet.Sidecar, listen string) (int, error) {
	text, err := r.configurations.Encode(s, listen, r.configVersion)
	if err != nil {
		return 0, err
	}
	path := r.configPath(s)
	temporaryPath := path + ".next"
	if err := os.WriteFile(temporaryPath, text, 0o600); err != nil {
		return 0, err
	}
	return len(text), os.Rename(temporaryPath, path)
}

// writeConfigs replaces the configuration files of all real sidecars and then those of all simulated sidecars.
func (r *runner) writeConfigs() (*rollout, error) {
	change := &rollout{startedAt: time.Now(), replacedAt: map[string]time.Time{}}
	replace := func(s fleet.Sidecar, listen string) error {
		size, err := r.writeConfig(s, listen)
		change.configBytes += int64(size)
		change.replacedAt[s.Name] = time.Now()
		return err
	}
	for _, s := range r.real {
		if err := replace(s.Sidecar, s.listenAddress); err != nil {
			return nil, err
		}
	}
	for _, group := range r.simulatedSidecars {
		for _, s := range group {
			if err := replace(s, simulatedListenAddress); err != nil {
				return nil, err
			}
		}
	}
	return change, nil
}
