// Package discovery calls the service that lists endpoints, and reads its lists.
package discovery
