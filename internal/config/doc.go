// Package config reads the configuration of a sidecar from its file and the environment, compares two configurations,
// and numbers the one in force.
//
// The file's form is that of the deployment and protocol pages: addresses, limits and the endpoints known at the
// start beside the settings object, which is the one that an instance of the simulator is given. Settings are parsed
// by package wire, as the simulator's adapter does.
//
// These invariants hold:
//
//   - A Config and a Snapshot do not change once they are made, so goroutines may read them without a lock.
//   - Within a process, a zone or machine kind keeps its number through every Merge.
//   - Sidecars with the same settings show the same Hash, apart from what tells the sidecars of one fleet apart, and
//     however their files are written. The hash is of JSON whose keys are pinned by tags.
//
// The package opens no sockets and makes no balancing decisions. Putting a configuration into force is its caller's
// job.
package config
