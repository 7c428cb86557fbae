// Package operatorstate stores what operators have set, in a file that the processes of one sidecar share.
package operatorstate
