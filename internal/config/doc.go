// Package config reads the configuration of a sidecar from its file and the environment, compares configurations, and
// counts the generations of the configuration in force.
//
// The deployment and protocol pages, which are not part of this repository, describe the format of the file. It
// contains addresses, limits, the endpoints known at the start, and the settings object, which contains the same
// settings that the simulator sends to its instances. Package wire parses the settings, both here and in the
// simulator's adapter, cmd/simhost.
//
// These invariants hold:
//
//   - A Config and a Snapshot do not change once they are made, so goroutines may read them without a lock.
//   - Within a process, Merge never changes the number of a zone or machine kind.
//   - Sidecars with the same settings have the same Hash. The format of their files does not matter, nor do the
//     settings that distinguish the sidecars of one fleet. The hash is computed from JSON whose keys are fixed by
//     struct tags.
//
// The package opens no sockets and makes no balancing decisions. The caller puts a configuration into force.
package config
