package config

import (
	"os"
	"time"
)

// reloadInterval is the pause after each reload of the file. It limits the work that many signals can cause, and is
// short compared with the time within which a change of the file must be in force.
const reloadInterval = 50 * time.Millisecond

// ReloadOnSignal starts a goroutine that loads a configuration file again for each signal and sends the result to the
// returned channel. If the file cannot be loaded, the goroutine sends a Config with Err set, so that the receiver can
// count and log the error. Signals that arrive during a reload or within 50 ms after it cause one more reload, provided
// that signals is a buffered channel.
//
// After signals has been closed and the receiver has taken the last result, the goroutine closes the returned channel
// and ends.
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
			time.Sleep(reloadInterval)
		}
	}()
	return configs
}
