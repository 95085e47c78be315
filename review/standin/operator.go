package main

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// operator is a stand-in of the operator. It picks among the machines that serve control.
type operator struct {
	fleet *fleet
	// machines serve control.
	machines []int
	client   http.Client
	next     int
}

// newOperator returns an operator that follows a 307 twice and waits a second for an answer.
func newOperator(f *fleet, machines ...int) *operator {
	o := &operator{fleet: f, machines: machines}
	o.client = http.Client{Timeout: time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	return o
}

// call makes one call at the next machine. The status is zero if there was no answer.
func (o *operator) call(method, body string) (status int, answer string) {
	machine := o.machines[o.next%len(o.machines)]
	o.next++
	request, err := http.NewRequest(method, "http://"+o.fleet.at(machine, controlPort)+"/configuration", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		o.fleet.record.add("operator: %s at machine %d: no answer: %v", method, machine, err)
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	answer = string(data)
	o.fleet.record.add("operator: %s at machine %d: %d %.200q", method, machine, response.StatusCode, answer)
	return response.StatusCode, answer
}

// put sends an order again, with increasing backoff, until it is acknowledged or refused or
// until the given time after the start of the run. It returns the last status.
func (o *operator) put(body string, until time.Duration) int {
	backoff := 100 * time.Millisecond
	for {
		status, _ := o.call(http.MethodPut, body)
		isClear := status == http.StatusOK || status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
		if isClear || o.fleet.record.elapsed() > until {
			return status
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, time.Second)
	}
}
