package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Balancer simulates the load balancer before the entries: it checks each entry's
// health and sends requests only to healthy entries.
type Balancer struct {
	client  *http.Client
	urls    []string
	mu      sync.Mutex
	healthy []string
}

// probeInterval is the time between two rounds of health checks and the timeout of
// each check. An entry's drain notice must be longer, so that the balancer no longer
// sends requests to a draining entry when that closes its listener.
const probeInterval = 500 * time.Millisecond

// NewBalancer returns a balancer of the entries at urls. It takes all of them to be
// healthy until Run has checked them.
func NewBalancer(client *http.Client, urls []string) *Balancer {
	return &Balancer{client: client, urls: urls, healthy: urls}
}

// Run checks the health of the entries until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b.probe(ctx)
		t := time.NewTimer(probeInterval)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

func (b *Balancer) probe(ctx context.Context) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var healthy []string
	for _, u := range b.urls {
		wg.Go(func() {
			if b.isHealthy(ctx, u) {
				mu.Lock()
				healthy = append(healthy, u)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(healthy) == 0 {
		healthy = b.urls
	}
	b.healthy = healthy
}

func (b *Balancer) isHealthy(ctx context.Context, base string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}

// send tries the healthy entries in random order. As real load balancers do, it tries
// the next entry only if the connection to one can't be established.
func (b *Balancer) send(rnd *rand.Rand, send func(base string) (*http.Response, error)) (*http.Response, error) {
	b.mu.Lock()
	urls := append([]string(nil), b.healthy...)
	b.mu.Unlock()
	rnd.Shuffle(len(urls), func(i, j int) { urls[i], urls[j] = urls[j], urls[i] })
	var resp *http.Response
	err := errNoURLs
	for _, u := range urls {
		resp, err = send(u)
		if err == nil || !isDial(err) {
			break
		}
	}
	return resp, err
}
