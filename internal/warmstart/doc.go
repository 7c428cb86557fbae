// Package warmstart saves a balancer's estimates to a file, for the process that replaces this one.
package warmstart
