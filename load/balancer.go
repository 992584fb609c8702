package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Balancer stands in for the platform's balancer: it asks each entry's health
// page and sends requests only to entries that answered well.
type Balancer struct {
	http *http.Client
	all  []string
	mu   sync.Mutex
	well []string
}

// probeInterval is the pause between two rounds of health checks; an entry's
// drain notice must be longer.
const probeInterval = 500 * time.Millisecond

// NewBalancer returns a balancer that takes all entries to be well until Run
// has asked them.
func NewBalancer(client *http.Client, urls []string) *Balancer {
	return &Balancer{http: client, all: urls, well: urls}
}

// Run asks the entries until ctx ends.
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
	var well []string
	for _, u := range b.all {
		wg.Go(func() {
			if b.healthy(ctx, u) {
				mu.Lock()
				well = append(well, u)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(well) == 0 {
		well = b.all
	}
	b.well = well
}

func (b *Balancer) healthy(ctx context.Context, base string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}

// send tries entries that are well, in random order. Like a balancer it goes
// on to the next one only when an entry takes no connection.
func (b *Balancer) send(rnd *rand.Rand, send func(base string) (*http.Response, error)) (*http.Response, error) {
	b.mu.Lock()
	urls := append([]string(nil), b.well...)
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
