package config

import (
	"os"
	"time"
)

// reloadInterval is the least time between two readings of the file. It bounds the work of a flood of signals, and is
// short against the time in which a change of the file has to be in force.
const reloadInterval = 50 * time.Millisecond

// ReloadOnSignal reads a configuration file again at each signal and sends the result. A file that cannot be read is
// sent as a Config with Err set, so that the receiver can count and log it. Signals that arrive during a reading or
// within 50 ms after it lead to one more reading, provided that the channel of signals has a buffer.
//
// The goroutine that does so ends, and the returned channel is closed, when signals is closed and the last result is
// received.
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
