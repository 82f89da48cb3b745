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

// shopOrder is one non-idempotent call with the results of all attempts.
type shopOrder struct {
	key      string
	statuses []int
	outcomes []string
}

// send posts the order once. It returns the HTTP status and the outcome:
// "answered", "lost" if there was no response, or that of the error response.
func (o *shopOrder) send(ctx context.Context, url string) (int, string) {
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
	return response.StatusCode, readErrorResponse(response).Details.Outcome
}

// sendUntilAnswered sends the order to randomly chosen entry instances until the
// outcome is "answered", with at most the given number of attempts.
func (o *shopOrder) sendUntilAnswered(ctx context.Context, urls []string, attempts int, rng *rand.Rand) {
	for range attempts {
		status, outcome := o.send(ctx, urls[rng.IntN(len(urls))])
		o.statuses = append(o.statuses, status)
		o.outcomes = append(o.outcomes, outcome)
		if outcome == "answered" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// mintKeys requests one-time keys from an entry instance.
func mintKeys(url string, count int) ([]string, error) {
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
		return nil, readErrorResponse(response)
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

// executionsByKey returns how often the services ran the order of each key.
func (d *deployment) executionsByKey() map[string]int {
	counts := map[string]int{}
	for _, s := range d.services {
		file, err := os.Open(s.executionsFile)
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
				d.t.Fatalf("malformed line %q in the executions file: %v", lines.Text(), err)
			}
			counts[key]++
		}
		_ = file.Close()
	}
	return counts
}

// checkOrders fails the test if an order ran more than once, ran although its
// last outcome was "not_run", or did not run although it was answered.
func (d *deployment) checkOrders(orders []*shopOrder) {
	d.t.Helper()
	executions := d.executionsByKey()
	ordersByOutcome := map[string]int{}
	for _, o := range orders {
		lastOutcome := o.outcomes[len(o.outcomes)-1]
		ordersByOutcome[lastOutcome]++
		runs := executions[o.key]
		if runs > 1 {
			d.t.Errorf("order %s ran %d times; answers %v", o.key, runs, o.outcomes)
		}
		if lastOutcome == "answered" && runs != 1 || lastOutcome == "not_run" && runs != 0 {
			d.t.Errorf("order %s ran %d times after answers %v %v", o.key, runs, o.outcomes, o.statuses)
		}
	}
	d.t.Logf("%d orders, by last outcome %v, %d executions", len(orders), ordersByOutcome, len(executions))
	if ordersByOutcome["answered"] == 0 {
		d.t.Error("no order was answered")
	}
}

// sendOrders sends n orders from several concurrent senders while fault runs.
// The keys are minted by all entry instances in equal parts.
func (d *deployment) sendOrders(n int, fault func()) []*shopOrder {
	d.t.Helper()
	var orders []*shopOrder
	var urls []string
	for _, e := range d.entries {
		keys, err := mintKeys(callerURL(e), n/len(d.entries))
		if err != nil {
			d.t.Fatal(err)
		}
		for _, key := range keys {
			orders = append(orders, &shopOrder{key: key})
		}
		urls = append(urls, callerURL(e))
	}
	rng := rand.New(rand.NewPCG(*seedFlag, uint64(n)))
	rng.Shuffle(len(orders), func(i, j int) { orders[i], orders[j] = orders[j], orders[i] })
	const senders, attempts = 10, 6
	var wg sync.WaitGroup
	for sender := range senders {
		senderRNG := rand.New(rand.NewPCG(*seedFlag, uint64(sender)))
		wg.Go(func() {
			for i := sender; i < len(orders); i += senders {
				orders[i].sendUntilAnswered(context.Background(), urls, attempts, senderRNG)
			}
		})
	}
	fault()
	wg.Wait()
	return orders
}

func servicesTopology() topology {
	s := smallTopology()
	s.services = []int{1, 1, 1}
	s.engines = []int{1, 0, 0}
	return s
}

// Guards against an order that runs twice when it is resent to other entry instances.
func TestOrdersRunOnce(t *testing.T) {
	d := startDeployment(t, servicesTopology())
	orders := d.sendOrders(100, func() {})
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

// Guards against an order that runs twice, or is wrongly reported as "not run",
// when an entry instance is killed while it handles the order and restarts
// without its record of keys, or is frozen.
func TestOrdersWhileEntryInstancesFail(t *testing.T) {
	d := startDeployment(t, servicesTopology())
	orders := d.sendOrders(200, func() {
		time.Sleep(300 * time.Millisecond)
		d.entries[0].kill()
		d.entries[2].freeze()
		time.Sleep(time.Second)
		d.entries[0].start()
		d.entries[2].thaw()
	})
	d.checkOrders(orders)
}

// Guards against an order that is sent again after the backend server that ran
// it was killed or frozen.
func TestOrdersWhileServicesDie(t *testing.T) {
	d := startDeployment(t, servicesTopology())
	orders := d.sendOrders(200, func() {
		time.Sleep(300 * time.Millisecond)
		d.services[0].kill()
		time.Sleep(300 * time.Millisecond)
		d.services[1].freeze()
		time.Sleep(time.Second)
		d.services[1].thaw()
	})
	d.checkOrders(orders)
}

// Guards against an order that runs on both sides of a network partition, and
// against a data centre that cannot use the keys it minted during one.
func TestOrdersWhileDataCentreIsCutOff(t *testing.T) {
	d := startDeployment(t, servicesTopology())
	orders := d.sendOrders(200, func() {
		time.Sleep(300 * time.Millisecond)
		d.partition("a")
		time.Sleep(1500 * time.Millisecond)
		for _, dataCentre := range []string{"a", "b"} {
			url := d.callerURLs(dataCentre)[0]
			keys, err := mintKeys(url, 1)
			if err != nil {
				t.Errorf("data centre %s mints no key during the partition: %v", dataCentre, err)
				continue
			}
			o := &shopOrder{key: keys[0]}
			if _, outcome := o.send(context.Background(), url); outcome != "answered" {
				t.Errorf("data centre %s does not accept a key that it minted during the partition: %s", dataCentre, outcome)
			}
		}
		d.healPartition()
	})
	d.checkOrders(orders)
}
