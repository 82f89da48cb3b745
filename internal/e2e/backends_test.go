package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// startBackendServers starts the engines and services, which announce themselves
// to the entry instances of their data centre.
func (d *deployment) startBackendServers() {
	for dc, name := range dataCentres {
		for i := range d.topology.engines[dc] {
			d.engines = append(d.engines, d.startEngine(dc, name, "summary", i+1))
		}
		for i := range d.idleEngineCount(dc) {
			d.engines = append(d.engines, d.startEngine(dc, name, "", d.topology.engines[dc]+i+1))
		}
		for i := range d.topology.services[dc] {
			d.services = append(d.services, d.startService(dc, name, i+1))
		}
	}
}

func (d *deployment) idleEngineCount(dc int) int {
	if len(d.topology.idleEngines) == 0 {
		return 0
	}
	return d.topology.idleEngines[dc]
}

// announceTo returns the caller addresses of the entry instances of a data
// centre, separated by commas.
func (d *deployment) announceTo(dataCentre string) string {
	var addresses []string
	for _, e := range d.entries {
		if e.dataCentre == dataCentre {
			addresses = append(addresses, strings.TrimPrefix(callerURL(e), "http://"))
		}
	}
	return strings.Join(addresses, ",")
}

func (d *deployment) startEngine(dc int, dataCentre, model string, number int) *backendServer {
	b := &backendServer{id: fmt.Sprintf("engine-%s%d", dataCentre, number), dataCentre: dataCentre}
	b.address = fmt.Sprintf("%s:%d", d.ip(dc, engineHostOffset+number), enginePort)
	b.proxy = d.startProxy(fmt.Sprintf("%s:%d", d.ip(dc, proxyHostOffset+engineHostOffset+number), enginePort), b.address)
	b.process = startProcess(d.t, d.folder, b.id, "gp-standin", "engine",
		"-id", b.id, "-address", b.address, "-advertise", b.proxy.Address(),
		"-data-centre", dataCentre, "-model", model, "-slots", fmt.Sprint(d.topology.slots),
		"-interval-ms", fmt.Sprint(d.topology.tokenIntervalMS), "-announce-to", d.announceTo(dataCentre))
	return b
}

func (d *deployment) startService(dc int, dataCentre string, number int) *backendServer {
	b := &backendServer{id: fmt.Sprintf("shop-%s%d", dataCentre, number), dataCentre: dataCentre}
	b.address = fmt.Sprintf("%s:%d", d.ip(dc, serviceHostOffset+number), servicePort)
	b.executionsFile = fmt.Sprintf("%s/executions-%s", d.folder, b.id)
	b.process = startProcess(d.t, d.folder, b.id, "gp-standin", "service",
		"-id", b.id, "-address", b.address, "-data-centre", dataCentre, "-pool", "shop",
		"-slots", "16", "-delay", "50ms", "-executions", b.executionsFile, "-announce-to", d.announceTo(dataCentre))
	return b
}

// waitForEngines waits until every entry instance can start a generation.
func (d *deployment) waitForEngines() {
	for _, e := range d.entries {
		eventually(d.t, startTimeout, e.id+" serves the model", func() error {
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
				return readErrorResponse(response)
			}
			return nil
		})
	}
}
