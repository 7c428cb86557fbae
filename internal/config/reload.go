package config

import (
	"os"
	"time"
)

// rereadPause is between two readings of the file, however many signals come.
const rereadPause = 50 * time.Millisecond

// ReloadOnSignal reads a configuration file again at each signal and sends what came of it, for Run: also a failure, which
// the sidecar counts and logs. Signals that come during a reading, or shortly after it, lead to one more.
func ReloadOnSignal(path string, signals <-chan os.Signal) <-chan *Config {
	configs := make(chan *Config)
	go func() {
		defer close(configs)
		for range signals {
			cfg, err := Load(path)
			if err != nil {
				cfg = &Config{Err: err}
			}
			configs <- cfg
			time.Sleep(rereadPause)
		}
	}()
	return configs
}
