// Package handover lets the processes of one sidecar share its listening socket and see each other while one replaces
// the other.
package handover
