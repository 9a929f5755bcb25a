package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	host           = "jepu9.example"
	apiKey         = "ctnfzs989anu6wsjnban"
	model          = "daka510000"
	service        = "huvo11a"
	surplusTime    = 40 * time.Second
	surplusClients = 16
	surplusRest    = 120 * time.Millisecond
	// surplusAnswers is how many answers the faulty runner sends a second time.
	surplusAnswers = 3
	maxInFlight    = 1
	deadlineMs     = 6000
)

// answered is how a request ended for its client.
type answered struct {
	id, machine string
	status      int
	body        string
	err         error
}

// playSurplus plays a runner that sends an answer to the daemon's call for cache events a second time, late, in the place of the answer
// to the next request on that connection. Requests may run at most once each.
func playSurplus(written *record, trouble bool) int {
	store := standin.NewStore()
	defer store.Close()
	all := &runs{byID: map[string][]run{}}
	surplus := 0
	if trouble {
		surplus = surplusAnswers
	}
	for _, each := range []struct {
		id      string
		surplus int
	}{{"i-7f3a91c2", surplus}, {"i-02d9e6b4", 0}} {
		started, err := newRunner(each.id, streamShape{events: 4, pause: 25 * time.Millisecond}, maxInFlight, each.surplus, written, all)
		if err != nil {
			written.note("the case couldn't run: %v", err)
			return exitNotRun
		}
		store.Put(names.Servers, started.id, started.row())
	}
	declare(store, false)
	made, err := startDeployment(store, 2, written.folder)
	defer made.stop()
	if err != nil {
		written.note("the case couldn't run: %v", err)
		return exitNotRun
	}
	ended := sendAll(written, made, surplusClients, 1, surplusTime, surplusRest)
	if err := made.checkRunning(); err != nil {
		written.note("the case couldn't run: %v", err)
		return exitNotRun
	}
	return judge(written, all, ended)
}

// declare writes a configuration with one route. Without resumable its requests may run at most once each.
func declare(store *standin.Store, resumable bool) {
	store.Put(names.Operator, "version/"+model, map[string]any{"model": model, "version": 1})
	store.Put(names.Operator, "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-6sz9frg", "host": host, "pathPrefix": "/lepu270/", "type": "streaming", "timeoutMs": 6000, "targetLatencyMs": 800,
			"priority": 1, "service": service, "maxAttempts": 2, "allowAnonymous": false, "sticky": true, "resumable": resumable, "gapTargetMs": 500,
		}},
		"services": []any{map[string]any{
			"name": service, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 110556, "kvTokenBytes": 163840, "linkMbps": 1100000.0, "maxInFlight": maxInFlight,
				"models": []any{map[string]any{"name": model}},
			},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "sese880", "apiKeys": []any{apiKey}, "priority": 1}},
	})
}

// sendAll lets clients send one request after the other, each to one daemon, until the play is over. Their prompts begin with one of some
// prefixes.
func sendAll(written *record, made *deployment, clients, prefixes int, playTime, rest time.Duration) []answered {
	var mutex sync.Mutex
	var ended []answered
	var group sync.WaitGroup
	until := time.Now().Add(playTime)
	for number := range clients {
		machine := made.machines[number%len(made.machines)]
		client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: deadlineMs * time.Millisecond}
		group.Go(func() {
			for count := 0; time.Now().Before(until); count++ {
				got := send(client, machine, fmt.Sprintf("%04x%012x", number+1, count), fmt.Sprintf("%08x:800", 0x5c1e07a2+(number*1000+count)%prefixes))
				written.note("client %d: request %s at %s: status %d, error %v", number, got.id, got.machine, got.status, got.err)
				mutex.Lock()
				ended = append(ended, got)
				mutex.Unlock()
				time.Sleep(rand.N(2 * rest))
			}
		})
	}
	group.Wait()
	return ended
}

// send sends one request and reads its whole answer.
func send(client *http.Client, machine *machine, id, prefix string) answered {
	got := answered{id: id, machine: machine.ip}
	request, err := http.NewRequest(http.MethodPost, "http://"+machine.front()+"/lepu270/2f", strings.NewReader("a short prompt"))
	if err != nil {
		got.err = err
		return got
	}
	request.Host = host
	for name, value := range map[string]string{
		header("Request-Id"): id, header("Model"): model, header("Token-Usage"): "1460,80",
		header("Prompt-Prefix"): prefix + "," + id + ":660", header("Request-Deadline-Ms"): fmt.Sprint(deadlineMs),
		"Authorization": "Bearer " + apiKey,
	} {
		request.Header[name] = []string{value}
	}
	answer, err := client.Do(request)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = answer.Body.Close() }()
	got.status = answer.StatusCode
	content, err := io.ReadAll(answer.Body)
	got.body, got.err = string(content), err
	return got
}

// judge counts the requests that ran more than once (rule TWICE), and those that were refused and ran (rule REFUSED).
func judge(written *record, all *runs, ended []answered) int {
	served, twice, refused := 0, 0, 0
	for _, each := range ended {
		ran := all.of(each.id)
		if each.status == http.StatusOK && each.err == nil {
			served++
		}
		if len(ran) > 1 {
			twice++
			written.note("TWICE: request %s ran at %s and then at %s; its client got status %d", each.id, ran[0].runner, ran[1].runner, each.status)
		}
		promises := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
		if slices.Contains(promises, each.status) && len(ran) > 0 {
			refused++
			written.note("REFUSED: request %s ran at %s; its client got status %d", each.id, ran[0].runner, each.status)
		}
	}
	written.note("%d requests, %d served whole, %d ran more than once, %d were refused and ran", len(ended), served, twice, refused)
	switch {
	case twice+refused > 0:
		return exitBroken
	case served == 0:
		return exitNotRun
	}
	return exitHeld
}
