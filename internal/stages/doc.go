// Package stages measures how long requests spend in each stage of their way through the sidecar.
package stages
