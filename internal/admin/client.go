package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// RequestError is returned for a request that the instance has rejected with a reason.
type RequestError struct {
	Address string // of the instance
	Reason  string
}

func (e *RequestError) Error() string { return e.Address + ": " + e.Reason }

// StatusError is returned for a response that is neither a success nor has a reason.
type StatusError struct {
	Address string // of the instance
	Path    string
	Code    int
	Status  string // with its code, such as 404 Not Found
}

func (e *StatusError) Error() string { return "ask " + e.Address + e.Path + ": " + e.Status }

// Call sends a request to the instance whose admin address (ip:port) is given: with a body a POST, without a GET. It
// returns the response's JSON. The error is a RequestError or StatusError if there was a response.
func Call(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	req.Header.Set("Content-Type", jsonType)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}}
	res, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	defer func() { _ = res.Body.Close() }() // what counts of the body was read
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	if res.StatusCode == http.StatusOK {
		return raw, nil
	}
	var rejected errorResponse
	if json.Unmarshal(raw, &rejected) == nil && rejected.Error != "" {
		return nil, &RequestError{Address: address, Reason: rejected.Error}
	}
	return nil, &StatusError{Address: address, Path: path, Code: res.StatusCode, Status: res.Status}
}
