package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// order is one non-idempotent call with all the answers that its sender got.
type order struct {
	key      string
	statuses []int
	outcomes []string
}

// send posts the order once.
func (o *order) send(ctx context.Context, url string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/services/shop/orders", strings.NewReader("a crate for "+o.key))
	if err != nil {
		return 0, "lost"
	}
	request.Header.Set("Authorization", "Bearer small-key")
	request.Header.Set("Idempotency-Key", o.key)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "lost"
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return response.StatusCode, "answered"
	}
	return response.StatusCode, readRefusal(response).Error_.Outcome
}

// submit sends the order, and again after each answer but "answered", at
// instances drawn at random, as a shop does that wants its crate.
func (o *order) submit(ctx context.Context, urls []string, tries int, rng *rand.Rand) {
	for range tries {
		status, outcome := o.send(ctx, urls[rng.IntN(len(urls))])
		o.statuses = append(o.statuses, status)
		o.outcomes = append(o.outcomes, outcome)
		if outcome == "answered" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func mint(url string, count int) ([]string, error) {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("%s/v1/keys?count=%d", url, count), nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer small-key")
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, readRefusal(response)
	}
	var body struct {
		Keys []string `json:"keys"`
	}
	err = json.NewDecoder(response.Body).Decode(&body)
	if err == nil && len(body.Keys) != count {
		err = fmt.Errorf("%d of %d keys", len(body.Keys), count)
	}
	return body.Keys, err
}

// executions counts what the services ran, by key.
func (d *deployment) executions() map[string]int {
	counts := map[string]int{}
	for _, s := range d.services {
		file, err := os.Open(s.executions)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			d.t.Fatal(err)
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			quoted, _, _ := strings.Cut(lines.Text(), " ")
			key, err := strconv.Unquote(quoted)
			if err != nil {
				d.t.Fatalf("line of executions %q: %v", lines.Text(), err)
			}
			counts[key]++
		}
		_ = file.Close()
	}
	return counts
}

// checkOrders fails on any order that ran twice, that ran although its last
// word was "not run", or that did not run although it was answered.
func (d *deployment) checkOrders(orders []*order) {
	d.t.Helper()
	counts := d.executions()
	tally := map[string]int{}
	for _, o := range orders {
		last := o.outcomes[len(o.outcomes)-1]
		tally[last]++
		ran := counts[o.key]
		if ran > 1 {
			d.t.Errorf("order %s ran %d times; answers %v", o.key, ran, o.outcomes)
		}
		if last == "answered" && ran != 1 || last == "not_run" && ran != 0 {
			d.t.Errorf("order %s ran %d times after answers %v %v", o.key, ran, o.outcomes, o.statuses)
		}
	}
	d.t.Logf("%d orders, by last outcome %v, %d executions", len(orders), tally, len(counts))
	if tally["answered"] == 0 {
		d.t.Error("no order was answered")
	}
}

// placeOrders sends n orders with keys of all instances from a few shops at
// once, while fault runs.
func (d *deployment) placeOrders(n int, fault func()) []*order {
	d.t.Helper()
	var orders []*order
	var urls []string
	for _, e := range d.entries {
		keys, err := mint(callerURL(e), n/len(d.entries))
		if err != nil {
			d.t.Fatal(err)
		}
		for _, key := range keys {
			orders = append(orders, &order{key: key})
		}
		urls = append(urls, callerURL(e))
	}
	rng := rand.New(rand.NewPCG(*seedFlag, uint64(n)))
	rng.Shuffle(len(orders), func(i, j int) { orders[i], orders[j] = orders[j], orders[i] })
	const shops, tries = 10, 6
	var wait sync.WaitGroup
	for shop := range shops {
		own := rand.New(rand.NewPCG(*seedFlag, uint64(shop)))
		wait.Go(func() {
			for i := shop; i < len(orders); i += shops {
				orders[i].submit(context.Background(), urls, tries, own)
			}
		})
	}
	fault()
	wait.Wait()
	return orders
}

func withServices() shape {
	s := small()
	s.services = []int{1, 1, 1}
	s.engines = []int{1, 0, 0}
	return s
}

// Guards against an order that runs twice when it is resent at other instances.
func TestOrdersRunOnce(t *testing.T) {
	d := startDeployment(t, withServices())
	orders := d.placeOrders(100, func() {})
	d.checkOrders(orders)
	for _, o := range orders[:20] {
		for _, e := range d.entries {
			if _, outcome := o.send(context.Background(), callerURL(e)); outcome != "answered" {
				t.Errorf("resend of an answered order at %s: %s", e.id, outcome)
			}
		}
	}
	d.checkOrders(orders)
}

// Guards against an order that runs twice, or is wrongly called "not run",
// when an entry instance dies with it, restarts empty, or is frozen.
func TestOrdersWhileEntryInstancesFail(t *testing.T) {
	d := startDeployment(t, withServices())
	orders := d.placeOrders(200, func() {
		time.Sleep(300 * time.Millisecond)
		d.entries[0].kill()
		d.entries[2].freeze()
		time.Sleep(time.Second)
		d.entries[0].start()
		d.entries[2].thaw()
	})
	d.checkOrders(orders)
}

// Guards against an order that is sent again after its service died with it.
func TestOrdersWhileServicesDie(t *testing.T) {
	d := startDeployment(t, withServices())
	orders := d.placeOrders(200, func() {
		time.Sleep(300 * time.Millisecond)
		d.services[0].kill()
		time.Sleep(300 * time.Millisecond)
		d.services[1].freeze()
		time.Sleep(time.Second)
		d.services[1].thaw()
	})
	d.checkOrders(orders)
}

// Guards against an order that runs on both sides of a cut, and against a
// cut-off data centre that cannot use the keys it minted.
func TestOrdersWhileDataCentreIsCutOff(t *testing.T) {
	d := startDeployment(t, withServices())
	orders := d.placeOrders(200, func() {
		time.Sleep(300 * time.Millisecond)
		d.cutOff("a")
		time.Sleep(1500 * time.Millisecond)
		for _, key := range []string{"a", "b"} {
			url := d.callerURLs(key)[0]
			keys, err := mint(url, 1)
			if err != nil {
				t.Errorf("data centre %s mints no key while cut off: %v", key, err)
				continue
			}
			o := &order{key: keys[0]}
			if _, outcome := o.send(context.Background(), url); outcome != "answered" {
				t.Errorf("data centre %s does not use its own key while cut off: %s", key, outcome)
			}
		}
		d.healAll()
	})
	d.checkOrders(orders)
}
