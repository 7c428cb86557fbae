// Package sidecartest has fakes for tests of the sidecar: endpoints, disks, clocks and listeners that fail on order.
package sidecartest
