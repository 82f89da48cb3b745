package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// startBackends starts the engines and services; they announce themselves to
// the entry instances of their data centre.
func (d *deployment) startBackends() {
	for dc, name := range dataCentres {
		for i := range d.shape.engines[dc] {
			d.engines = append(d.engines, d.startEngine(dc, name, "summary", i+1))
		}
		for i := range d.idleEngines(dc) {
			d.engines = append(d.engines, d.startEngine(dc, name, "", d.shape.engines[dc]+i+1))
		}
		for i := range d.shape.services[dc] {
			d.services = append(d.services, d.startService(dc, name, i+1))
		}
	}
}

func (d *deployment) idleEngines(dc int) int {
	if len(d.shape.idle) == 0 {
		return 0
	}
	return d.shape.idle[dc]
}

func (d *deployment) announceTo(dataCentre string) string {
	var urls []string
	for _, e := range d.entries {
		if e.dataCentre == dataCentre {
			urls = append(urls, strings.TrimPrefix(callerURL(e), "http://"))
		}
	}
	return strings.Join(urls, ",")
}

func (d *deployment) startEngine(dc int, dataCentre, model string, n int) *backend {
	b := &backend{id: fmt.Sprintf("engine-%s%d", dataCentre, n), dataCentre: dataCentre}
	b.address = fmt.Sprintf("%s:%d", d.ip(dc, engineHost+n), enginePort)
	b.relay = startRelay(d.t, fmt.Sprintf("%s:%d", d.ip(dc, relayHost+engineHost+n), enginePort), b.address)
	b.process = startProcess(d.t, d.folder, b.id, "gp-standin", "engine",
		"-id", b.id, "-address", b.address, "-advertise", b.relay.listener.Addr().String(),
		"-data-centre", dataCentre, "-model", model, "-slots", fmt.Sprint(d.shape.slots),
		"-interval-ms", fmt.Sprint(d.shape.tokenInterval), "-announce-to", d.announceTo(dataCentre))
	return b
}

func (d *deployment) startService(dc int, dataCentre string, n int) *backend {
	b := &backend{id: fmt.Sprintf("shop-%s%d", dataCentre, n), dataCentre: dataCentre}
	b.address = fmt.Sprintf("%s:%d", d.ip(dc, serviceHost+n), servicePort)
	b.executions = fmt.Sprintf("%s/executions-%s", d.folder, b.id)
	b.process = startProcess(d.t, d.folder, b.id, "gp-standin", "service",
		"-id", b.id, "-address", b.address, "-data-centre", dataCentre, "-pool", "shop",
		"-slots", "16", "-delay", "50ms", "-executions", b.executions, "-announce-to", d.announceTo(dataCentre))
	return b
}

// waitForEngines returns when a generation can be started at every entry instance.
func (d *deployment) waitForEngines() {
	for _, e := range d.entries {
		eventually(d.t, startDeadline, e.id+" serves the model", func() error {
			request, err := http.NewRequest(http.MethodPost, callerURL(e)+"/v1/completions",
				strings.NewReader(`{"model":"summary","prompt":"check","max_tokens":1}`))
			if err != nil {
				return err
			}
			request.Header.Set("Authorization", "Bearer other-key")
			client := http.Client{Timeout: 2 * time.Second}
			response, err := client.Do(request)
			if err != nil {
				return err
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return readRefusal(response)
			}
			return nil
		})
	}
}
