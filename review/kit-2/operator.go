package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator sends orders as PROTOCOL.md says: it moves to another node after a failure, a 5xx
// or a second without response, and sends the same order again.
type operator struct {
	controls []string
	record   *record
}

// send sends an order, first to the node at a position, and returns the position of the node
// that acknowledged it.
func (o *operator) send(path string, body []byte, first int) (int, error) {
	pause := 50 * time.Millisecond
	for try := range 20 {
		at := (first + try) % len(o.controls)
		status, err := post(o.controls[at], path, body)
		o.record.log("operator: POST %s to core-%d: %s", path, at+1, answerText(status, err))
		switch {
		case err == nil && status == http.StatusOK:
			return at, nil
		case err == nil && status >= 400 && status < 500:
			return at, fmt.Errorf("refused with %d", status)
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return -1, errors.New("no node acknowledged the order")
}

func answerText(status int, err error) string {
	if err != nil {
		return "no answer (" + err.Error() + ")"
	}
	return fmt.Sprint(status)
}

func post(address, path string, body []byte) (int, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}
