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

// shopCall is one at-most-once call of the service "shop" with the results of all attempts.
type shopCall struct {
	key      string
	statuses []int
	outcomes []string
}

// send makes one attempt. It returns the HTTP status and the outcome:
// "answered", "lost" if there was no response, or that of the error response.
func (c *shopCall) send(ctx context.Context, url string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/services/shop/orders", strings.NewReader("a crate for "+c.key))
	if err != nil {
		return 0, "lost"
	}
	request.Header.Set("Authorization", "Bearer small-key")
	request.Header.Set("Idempotency-Key", c.key)
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

// sendUntilAnswered sends the call to randomly chosen entry instances until the
// outcome is "answered", with at most the given number of attempts.
func (c *shopCall) sendUntilAnswered(ctx context.Context, urls []string, attempts int, rng *rand.Rand) {
	for range attempts {
		status, outcome := c.send(ctx, urls[rng.IntN(len(urls))])
		c.statuses = append(c.statuses, status)
		c.outcomes = append(c.outcomes, outcome)
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

// executionsByKey returns how often the services ran the call of each key.
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

// checkShopCalls fails the test if a call ran more than once, ran although its
// last outcome was "not_run", or did not run although it was answered.
func (d *deployment) checkShopCalls(calls []*shopCall) {
	d.t.Helper()
	executions := d.executionsByKey()
	callsByOutcome := map[string]int{}
	for _, c := range calls {
		lastOutcome := c.outcomes[len(c.outcomes)-1]
		callsByOutcome[lastOutcome]++
		runs := executions[c.key]
		if runs > 1 {
			d.t.Errorf("the call with key %s ran %d times, outcomes %v", c.key, runs, c.outcomes)
		}
		if lastOutcome == "answered" && runs != 1 || lastOutcome == "not_run" && runs != 0 {
			d.t.Errorf("the call with key %s ran %d times, outcomes %v, statuses %v", c.key, runs, c.outcomes, c.statuses)
		}
	}
	d.t.Logf("%d calls, by last outcome %v, %d executions", len(calls), callsByOutcome, len(executions))
	if callsByOutcome["answered"] == 0 {
		d.t.Error("no call was answered")
	}
}

// sendShopCalls sends n calls from several concurrent senders while fault runs.
// The keys are minted by all entry instances in equal parts.
func (d *deployment) sendShopCalls(n int, fault func()) []*shopCall {
	d.t.Helper()
	var calls []*shopCall
	var urls []string
	for _, e := range d.entries {
		keys, err := mintKeys(callerURL(e), n/len(d.entries))
		if err != nil {
			d.t.Fatal(err)
		}
		for _, key := range keys {
			calls = append(calls, &shopCall{key: key})
		}
		urls = append(urls, callerURL(e))
	}
	rng := rand.New(rand.NewPCG(*seedFlag, uint64(n)))
	rng.Shuffle(len(calls), func(i, j int) { calls[i], calls[j] = calls[j], calls[i] })
	const senders, attempts = 10, 6
	var wg sync.WaitGroup
	for sender := range senders {
		senderRNG := rand.New(rand.NewPCG(*seedFlag, uint64(sender)))
		wg.Go(func() {
			for i := sender; i < len(calls); i += senders {
				calls[i].sendUntilAnswered(context.Background(), urls, attempts, senderRNG)
			}
		})
	}
	fault()
	wg.Wait()
	return calls
}

func servicesTopology() topology {
	s := smallTopology()
	s.services = []int{1, 1, 1}
	s.engines = []int{1, 0, 0}
	return s
}

// Guards against a call that runs twice when it is resent to other entry instances.
func TestOrdersRunOnce(t *testing.T) {
	d := startDeployment(t, servicesTopology())
	calls := d.sendShopCalls(100, func() {})
	d.checkShopCalls(calls)
	for _, c := range calls[:20] {
		for _, e := range d.entries {
			if _, outcome := c.send(context.Background(), callerURL(e)); outcome != "answered" {
				t.Errorf("resend of an answered call at %s: %s", e.id, outcome)
			}
		}
	}
	d.checkShopCalls(calls)
}

// Guards against a call that runs twice, or is wrongly reported as "not run",
// when an entry instance is killed while it handles the call and restarts
// without its record of keys, or is frozen.
func TestOrdersWhileEntryInstancesFail(t *testing.T) {
	d := startDeployment(t, servicesTopology())
	calls := d.sendShopCalls(200, func() {
		time.Sleep(300 * time.Millisecond)
		d.entries[0].kill()
		d.entries[2].freeze()
		time.Sleep(time.Second)
		d.entries[0].start()
		d.entries[2].thaw()
	})
	d.checkShopCalls(calls)
}

// Guards against a call that is sent again after the backend server that ran
// it was killed or frozen.
func TestOrdersWhileServicesDie(t *testing.T) {
	d := startDeployment(t, servicesTopology())
	calls := d.sendShopCalls(200, func() {
		time.Sleep(300 * time.Millisecond)
		d.services[0].kill()
		time.Sleep(300 * time.Millisecond)
		d.services[1].freeze()
		time.Sleep(time.Second)
		d.services[1].thaw()
	})
	d.checkShopCalls(calls)
}

// Guards against a call that runs on both sides of a network partition, and
// against a data centre that cannot use the keys it minted during one.
func TestOrdersWhileDataCentreIsCutOff(t *testing.T) {
	d := startDeployment(t, servicesTopology())
	calls := d.sendShopCalls(200, func() {
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
			c := &shopCall{key: keys[0]}
			if _, outcome := c.send(context.Background(), url); outcome != "answered" {
				t.Errorf("data centre %s does not accept a key that it minted during the partition: %s", dataCentre, outcome)
			}
		}
		d.healPartition()
	})
	d.checkShopCalls(calls)
}
