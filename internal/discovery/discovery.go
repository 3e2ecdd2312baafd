package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/logging"
	"ottershed/internal/marshal"
	"ottershed/logic"
)

const (
	wait    = 2 * time.Second        // of a watch; short, for a call may hang while discovery is down
	answer  = time.Second            // for an answer that is due
	pause   = 50 * time.Millisecond  // after a failure; the next call must come within 200 ms
	rest    = 200 * time.Millisecond // for the rest of an answer that has begun: it stands ready at the agent
	longest = 1 << 20                // bytes of a list
)

// Follower keeps a watch on the list and hands on what it is told.
type Follower struct {
	address string // at the start
	told    func(marshal.List)
	log     logrus.FieldLogger
	causes  logging.Causes
	lookup  chan struct{}
	moved   chan string

	mu    sync.Mutex
	spoke int // number of the newest watch that was told something

	wait, answer, rest, pause time.Duration
}

// New makes a follower of the list at address.
func New(address string, told func(marshal.List), log logrus.FieldLogger) *Follower {
	return &Follower{address: address, told: told, log: log, lookup: make(chan struct{}, 1), moved: make(chan string),
		wait: wait, answer: answer, rest: rest, pause: pause}
}

// Lookup asks for the whole list again.
func (f *Follower) Lookup() {
	select {
	case f.lookup <- struct{}{}:
	default:
	}
}

// Move says that the list is at another address from now on.
func (f *Follower) Move(ctx context.Context, address string) {
	select {
	case f.moved <- address:
	case <-ctx.Done():
	}
}

// Run follows until ctx ends. Danger: the next agent's numbers need not be those of the one before, and a new one may
// be slow to answer; so there a new watch begins with the whole list, and the old one goes on until that has come.
func (f *Follower) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	number, cancel := 0, map[int]context.CancelFunc{} // watches that go on; those that are over empty it
	over, speaks := make(chan int), make(chan int)
	begin := func(address string) {
		number++
		w := &watch{Follower: f, number: number, base: "http://" + address + "/discovery/hosts", speaks: speaks,
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
		var of context.Context
		of, cancel[number] = context.WithCancel(ctx)
		running.Go(func() {
			w.run(of)
			select {
			case over <- w.number:
			case <-ctx.Done():
			}
		})
	}
	begin(f.address)
	for now := 0; ; {
		select {
		case <-ctx.Done():
			for _, c := range cancel {
				c()
			}
			return
		case address := <-f.moved:
			if number != now { // hasn't spoken, and never need
				cancel[number]()
			}
			begin(address)
		case n := <-speaks:
			if now != n && cancel[now] != nil {
				cancel[now]()
			}
			now = n
		case n := <-over:
			cancel[n]()
			delete(cancel, n)
		}
	}
}

// watch is what goes on at one address.
type watch struct {
	*Follower
	number int
	base   string
	client *http.Client
	speaks chan<- int
}

// run follows until ctx ends: the whole list first and after a failure, then watches. Each goes out as soon as the
// answer before has come.
func (f *watch) run(ctx context.Context) {
	defer f.client.CloseIdleConnections()
	url, silent := f.base, false
	for ctx.Err() == nil {
		list, err := f.get(ctx, url)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if f.causes.New("silent") {
				f.log.WithError(err).Warn("discovery silent or unreadable")
			}
			url, silent = f.base, true
			select {
			case <-ctx.Done():
			case <-time.After(f.pause):
			}
			continue
		case silent:
			silent = false
			f.log.WithFields(logrus.Fields{"index": list.Stamp, "nodes": len(list.Entries)}).
				Info("discovery answers again")
		}
		if !f.tell(ctx, list) {
			return
		}
		url = fmt.Sprintf("%s?since=%d&timeout_ms=%d", f.base, list.Stamp, f.wait.Milliseconds())
		select {
		case <-f.lookup:
			url = f.base
		default:
		}
	}
}

// tell hands a list on unless a newer watch has done so before. Danger: told by both, an older list would come after
// a newer one.
func (f *watch) tell(ctx context.Context, list marshal.List) bool {
	f.mu.Lock()
	first := f.spoke < f.number
	f.spoke = max(f.spoke, f.number)
	newest := f.spoke == f.number
	if newest && (list.How == logic.Whole || len(list.Entries) > 0) {
		f.told(list)
	}
	f.mu.Unlock()
	if first {
		select {
		case f.speaks <- f.number:
		case <-ctx.Done():
		}
	}
	return newest
}

func (f *watch) get(ctx context.Context, url string) (marshal.List, error) {
	limit := f.answer
	if url != f.base {
		limit += f.wait
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	overdue := time.AfterFunc(limit, cancel)
	defer overdue.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return marshal.List{}, err
	}
	res, err := f.client.Do(req)
	if err != nil {
		return marshal.List{}, err
	}
	defer res.Body.Close()
	// Danger: an answer that stays a part holds up the next call for as long as a whole watch.
	overdue.Reset(f.rest)
	if res.StatusCode != http.StatusOK {
		return marshal.List{}, fmt.Errorf("list: status %d", res.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, longest))
	if err != nil {
		return marshal.List{}, fmt.Errorf("list: %w", err)
	}
	return Decode(raw)
}
