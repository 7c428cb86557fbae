package load

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	readyPath           = "/health/ready"
	readyRequestTimeout = time.Second           // time limit of one readiness check
	readyPollInterval   = 50 * time.Millisecond // interval between readiness checks
)

// AwaitReady waits until every sidecar in targets is ready, as an application waits for its sidecar before it sends
// requests. If ctx is done first, AwaitReady returns an error that wraps the error of ctx.
func AwaitReady(ctx context.Context, targets []string) error {
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: readyRequestTimeout}
	for _, target := range targets {
		if err := awaitReady(ctx, client, target); err != nil {
			return fmt.Errorf("load: %s is not ready: %w", target, err)
		}
	}
	return nil
}

func awaitReady(ctx context.Context, client *http.Client, target string) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !IsReady(ctx, client, target) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// IsReady reports whether the sidecar at target, in the form host:port, responds to a readiness check with status 200.
func IsReady(ctx context.Context, client *http.Client, target string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+readyPath, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
